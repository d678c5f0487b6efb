package thornferry.decisions.admission;

import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;

/** A tenant's usage and the heads of its owners' queues. */
final class TenantQueue {
    private final UsageTotals usage;
    private final TreeSet<QueueEntry> heads = new TreeSet<>(QueueEntry.BY_PRIORITY);

    /** Number of waiting tasks that some machine is large enough for, by priority weight. */
    private final TreeMap<Double, Integer> waitingByWeight = new TreeMap<>();

    TenantQueue(String name) {
        this.usage = new UsageTotals(name);
    }

    String name() {
        return usage.name();
    }

    UsageTotals usage() {
        return usage;
    }

    /** The head of each owner that no quota of its own blocks. */
    NavigableSet<QueueEntry> heads() {
        return heads;
    }

    void addWaiting(QueueEntry entry) {
        usage.addWaiting();
        changeWaitingByWeight(entry, 1);
    }

    void removeWaiting(QueueEntry entry) {
        usage.removeWaiting();
        changeWaitingByWeight(entry, -1);
    }

    /** Placeable waiting tasks of at least this priority weight. */
    int countWaitingFrom(double priorityWeight) {
        return waitingByWeight.tailMap(priorityWeight, true).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    private void changeWaitingByWeight(QueueEntry entry, int change) {
        if (entry.fitsSomeMachine()) {
            waitingByWeight.merge(
                    entry.request().priorityWeight(), change, TenantQueue::sumOrAbsent);
        }
    }

    private static Integer sumOrAbsent(Integer count, Integer change) {
        int sum = count + change;
        return sum == 0 ? null : Integer.valueOf(sum);
    }
}
