package thornferry.decisions.admission;

import java.util.TreeSet;

/** An owner's queued entries and usage. */
final class OwnerQueue {
    private final UsageTotals usage;
    private final TenantQueue tenant;
    private final TreeSet<QueueEntry> byPriority = new TreeSet<>(QueueEntry.BY_PRIORITY);
    private final TreeSet<QueueEntry> byAge = new TreeSet<>(QueueEntry.BY_AGE);
    private QuotaBlock block;
    private long wakeAtMicros = Long.MIN_VALUE;
    private QueueEntry listedHead;
    private QueueEntry listedOldest;

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

    /** How many queued entries come before this one by priority, counted up to {@code max}. */
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

    /** The owner's quota that blocks its head; null if none does. */
    QuotaBlock block() {
        return block;
    }

    void setBlock(QuotaBlock newBlock) {
        block = newBlock;
    }

    /** When the block is checked again; in the past if no check is due. */
    long wakeAtMicros() {
        return wakeAtMicros;
    }

    void setWakeAtMicros(long newWakeAtMicros) {
        wakeAtMicros = newWakeAtMicros;
    }

    /** The head as the tenant's index has it; null if absent there. */
    QueueEntry listedHead() {
        return listedHead;
    }

    void setListedHead(QueueEntry entry) {
        listedHead = entry;
    }

    /** The oldest entry as the site-wide index has it; null if absent there. */
    QueueEntry listedOldest() {
        return listedOldest;
    }

    void setListedOldest(QueueEntry entry) {
        listedOldest = entry;
    }
}
