package thornferry.decisions.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;

/**
 * Indexes queued entries by owner, tenant and age, and keeps the usage of owners, tenants and the
 * site.
 */
final class QueueIndex {
    /**
     * Maximum number of entries that one step examines, so that its time is bounded however long
     * the queue is.
     */
    static final int MAX_SCANNED = 256;

    private final QuotaChecker quotas;
    private final UsageTotals site;
    private final Map<String, OwnerQueue> owners = new HashMap<>();
    private final Map<String, TenantQueue> tenants = new LinkedHashMap<>();

    /** The oldest entry of each owner whose head no quota of that owner blocks. */
    private final TreeSet<QueueEntry> oldestUnblocked = new TreeSet<>(QueueEntry.BY_AGE);

    /** Times at which a block of some owner may have ended. */
    private final PriorityQueue<Long> blockCheckTimes = new PriorityQueue<>();

    QueueIndex(QuotaChecker quotas, UsageTotals site) {
        this.quotas = quotas;
        this.site = site;
    }

    /** Returns the queue of a request's owner; creates it, and that of the tenant, if absent. */
    OwnerQueue getOrCreateOwner(QueuedRequest request) {
        OwnerQueue owner = owners.get(request.owner());
        if (owner == null) {
            TenantQueue tenant = tenants.computeIfAbsent(request.tenant(), TenantQueue::new);
            owner = new OwnerQueue(request.owner(), tenant);
            owners.put(request.owner(), owner);
        }
        return owner;
    }

    Optional<OwnerQueue> owner(String name) {
        return Optional.ofNullable(owners.get(name));
    }

    Collection<OwnerQueue> owners() {
        return owners.values();
    }

    /** Returns the tenants in order of their first requests. */
    Collection<TenantQueue> tenants() {
        return tenants.values();
    }

    UsageTotals site() {
        return site;
    }

    /**
     * Returns the oldest entry of each owner whose head no quota of that owner blocks, oldest
     * first.
     */
    NavigableSet<QueueEntry> oldestUnblocked() {
        return oldestUnblocked;
    }

    void enqueue(long nowMicros, QueueEntry entry) {
        entry.moveTo(AdmissionQueue.Stage.QUEUED);
        entry.owner().add(entry);
        refresh(nowMicros, entry.owner());
    }

    void dequeue(long nowMicros, QueueEntry entry) {
        entry.owner().remove(entry);
        refresh(nowMicros, entry.owner());
    }

    void addWaiting(QueueEntry entry) {
        entry.owner().usage().addWaiting();
        entry.tenant().addWaiting(entry);
        site.addWaiting();
    }

    void removeWaiting(QueueEntry entry) {
        entry.owner().usage().removeWaiting();
        entry.tenant().removeWaiting(entry);
        site.removeWaiting();
    }

    void addActive(QueueEntry entry) {
        entry.owner().usage().addActive(entry.request());
        entry.tenant().usage().addActive(entry.request());
        site.addActive(entry.request());
    }

    void removeActive(QueueEntry entry) {
        entry.owner().usage().removeActive(entry.request());
        entry.tenant().usage().removeActive(entry.request());
        site.removeActive(entry.request());
    }

    /** Removes an owner without waiting or active tasks, and its tenant if that has none either. */
    void removeOwnerIfIdle(long nowMicros, OwnerQueue owner) {
        if (!owner.usage().isIdle() || owners.get(owner.name()) != owner) {
            return;
        }
        refresh(nowMicros, owner);
        owners.remove(owner.name());
        TenantQueue tenant = owner.tenant();
        if (tenant.usage().isIdle()) {
            tenants.remove(tenant.name(), tenant);
        }
    }

    /**
     * Rechecks an owner's quota and updates the indexes. Unless a quota of the owner blocks its
     * head, the head is in {@link TenantQueue#heads} and the oldest entry is in {@link
     * #oldestUnblocked}.
     */
    void refresh(long nowMicros, OwnerQueue owner) {
        QueueEntry head = owner.isEmpty() ? null : owner.head();
        QuotaBlock block = head == null ? null : quotas.findOwnerBlock(nowMicros, head);
        owner.setBlock(block);
        indexHead(owner, block == null ? head : null);
        indexOldest(owner, head == null || block != null ? null : owner.oldest());
        if (block != null && block.endsWithTime() && owner.nextCheckAtMicros() <= nowMicros) {
            owner.setNextCheckAtMicros(block.untilMicros());
            blockCheckTimes.add(block.untilMicros());
        }
    }

    /** Rechecks the quotas of all owners after a change of the settings. */
    void refreshAll(long nowMicros) {
        for (OwnerQueue owner : owners.values()) {
            refresh(nowMicros, owner);
        }
    }

    /** Rechecks the quotas of blocked owners if a block may have ended with time. */
    void refreshBlockedOwners(long nowMicros) {
        boolean isCheckDue = false;
        while (!blockCheckTimes.isEmpty() && blockCheckTimes.peek() <= nowMicros) {
            blockCheckTimes.poll();
            isCheckDue = true;
        }
        if (isCheckDue) {
            new ArrayList<>(owners.values())
                    .stream()
                            .filter(owner -> owner.block() != null)
                            .forEach(owner -> refresh(nowMicros, owner));
        }
    }

    private static void indexHead(OwnerQueue owner, QueueEntry head) {
        QueueEntry indexed = owner.indexedHead();
        if (indexed != head) {
            replace(owner.tenant().heads(), indexed, head);
            owner.setIndexedHead(head);
        }
    }

    private void indexOldest(OwnerQueue owner, QueueEntry oldest) {
        QueueEntry indexed = owner.indexedOldest();
        if (indexed != oldest) {
            replace(oldestUnblocked, indexed, oldest);
            owner.setIndexedOldest(oldest);
        }
    }

    private static void replace(Set<QueueEntry> set, QueueEntry previous, QueueEntry next) {
        if (previous != null) {
            set.remove(previous);
        }
        if (next != null) {
            set.add(next);
        }
    }
}
