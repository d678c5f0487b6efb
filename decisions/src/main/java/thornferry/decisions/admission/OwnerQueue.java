package thornferry.decisions.admission;

import java.util.TreeSet;

/** The queued entries and the usage of one owner. */
final class OwnerQueue {
    private final UsageTotals usage;
    private final TenantQueue tenant;
    private final TreeSet<QueueEntry> byPriority = new TreeSet<>(QueueEntry.BY_PRIORITY);
    private final TreeSet<QueueEntry> byAge = new TreeSet<>(QueueEntry.BY_AGE);
    private QuotaBlock block;
    private long nextCheckAtMicros = Long.MIN_VALUE;
    private QueueEntry indexedHead;
    private QueueEntry indexedOldest;

    OwnerQueue(String name, TenantQueue tenant) {
        this.usage = new UsageTotals(name);
        this.tenant = tenant;
    }

    String name() {
        return usage.name();
    }

    UsageTotals usage() {
        return usage;
    }

    TenantQueue tenant() {
        return tenant;
    }

    void add(QueueEntry entry) {
        byPriority.add(entry);
        byAge.add(entry);
    }

    void remove(QueueEntry entry) {
        byPriority.remove(entry);
        byAge.remove(entry);
    }

    boolean isEmpty() {
        return byPriority.isEmpty();
    }

    QueueEntry head() {
        return byPriority.first();
    }

    QueueEntry last() {
        return byPriority.last();
    }

    QueueEntry oldest() {
        return byAge.first();
    }

    /**
     * Returns the number of queued entries that precede this one by priority, counted up to {@code
     * max}.
     */
    int countBefore(QueueEntry entry, int max) {
        int count = 0;
        for (QueueEntry other : byPriority) {
            if (count >= max || QueueEntry.BY_PRIORITY.compare(other, entry) >= 0) {
                break;
            }
            count++;
        }
        return count;
    }

    /** Returns the owner's quota that blocks the head of this queue, or null if none does. */
    QuotaBlock block() {
        return block;
    }

    void setBlock(QuotaBlock newBlock) {
        block = newBlock;
    }

    /**
     * Returns the time at which the block is checked next; a time in the past if no check is
     * scheduled.
     */
    long nextCheckAtMicros() {
        return nextCheckAtMicros;
    }

    void setNextCheckAtMicros(long newNextCheckAtMicros) {
        nextCheckAtMicros = newNextCheckAtMicros;
    }

    /**
     * Returns the entry that {@link TenantQueue#heads} has for this owner, or null if it has none.
     */
    QueueEntry indexedHead() {
        return indexedHead;
    }

    void setIndexedHead(QueueEntry entry) {
        indexedHead = entry;
    }

    /**
     * Returns the entry that {@link QueueIndex#oldestUnblocked} has for this owner, or null if it
     * has none.
     */
    QueueEntry indexedOldest() {
        return indexedOldest;
    }

    void setIndexedOldest(QueueEntry entry) {
        indexedOldest = entry;
    }
}
