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

/** Queued entries by owner, tenant and age, and the usage of owners, tenants and the site. */
final class QueueIndex {
    /** Entries that a single step looks at, so that its time stays bounded in a long queue. */
    static final int MAX_SCANNED = 256;

    private final QuotaChecker quotas;
    private final UsageTotals site;
    private final Map<String, OwnerQueue> owners = new HashMap<>();
    private final Map<String, TenantQueue> tenants = new LinkedHashMap<>();

    /** The oldest entry of each owner that no quota of its own blocks. */
    private final TreeSet<QueueEntry> oldestUnblocked = new TreeSet<>(QueueEntry.BY_AGE);

    private final PriorityQueue<Long> ownerWakeTimes = new PriorityQueue<>();

    QueueIndex(QuotaChecker quotas, UsageTotals site) {
        this.quotas = quotas;
        this.site = site;
    }

    /** The owner of a request; created if nothing of it is known. */
    OwnerQueue ownerOf(QueuedRequest request) {
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

    /** Tenants in order of their first request. */
    Collection<TenantQueue> tenants() {
        return tenants.values();
    }

    UsageTotals site() {
        return site;
    }

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

    /** Discards an owner of whom nothing waits or is active, and its tenant likewise. */
    void discardIfIdle(long nowMicros, OwnerQueue owner) {
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
     * Checks an owner's quota anew. Its head is listed with its tenant, and its oldest entry
     * site-wide, unless a quota of its own blocks the head.
     */
    void refresh(long nowMicros, OwnerQueue owner) {
        QueueEntry head = owner.isEmpty() ? null : owner.head();
        QuotaBlock block = head == null ? null : quotas.ownerBlock(nowMicros, head);
        owner.setBlock(block);
        listHead(owner, block == null ? head : null);
        listOldest(owner, head == null || block != null ? null : owner.oldest());
        if (block != null && block.endsWithTime() && owner.wakeAtMicros() <= nowMicros) {
            owner.setWakeAtMicros(block.untilMicros());
            ownerWakeTimes.add(block.untilMicros());
        }
    }

    /** Checks all owners' quotas anew, after a change of the settings. */
    void refreshAll(long nowMicros) {
        for (OwnerQueue owner : owners.values()) {
            refresh(nowMicros, owner);
        }
    }

    /** Checks blocked owners' quotas anew if time may have ended a block. */
    void refreshBlockedOwners(long nowMicros) {
        boolean wakeTimePassed = false;
        while (!ownerWakeTimes.isEmpty() && ownerWakeTimes.peek() <= nowMicros) {
            ownerWakeTimes.poll();
            wakeTimePassed = true;
        }
        if (wakeTimePassed) {
            new ArrayList<>(owners.values())
                    .stream()
                            .filter(owner -> owner.block() != null)
                            .forEach(owner -> refresh(nowMicros, owner));
        }
    }

    private static void listHead(OwnerQueue owner, QueueEntry head) {
        QueueEntry listed = owner.listedHead();
        if (listed != head) {
            replace(owner.tenant().heads(), listed, head);
            owner.setListedHead(head);
        }
    }

    private void listOldest(OwnerQueue owner, QueueEntry oldest) {
        QueueEntry listed = owner.listedOldest();
        if (listed != oldest) {
            replace(oldestUnblocked, listed, oldest);
            owner.setListedOldest(oldest);
        }
    }

    private static void replace(Set<QueueEntry> set, QueueEntry before, QueueEntry after) {
        if (before != null) {
            set.remove(before);
        }
        if (after != null) {
            set.add(after);
        }
    }
}
