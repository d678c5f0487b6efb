package thornferry.decisions.admission;

import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;

/** The usage of one tenant and the heads of its owners' queues. */
final class TenantQueue {
    private final UsageTotals usage;
    private final TreeSet<QueueEntry> heads = new TreeSet<>(QueueEntry.BY_PRIORITY);

    /**
     * Number of waiting tasks by priority weight, without those that fitted no machine at their
     * arrival.
     */
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

    /**
     * Returns the heads of the owners' queues that no quota of their owner blocks, in order of
     * priority.
     */
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

    /**
     * Returns the number of waiting tasks with at least this priority weight, without those that
     * fitted no machine at their arrival.
     */
    int countWaitingAtOrAbove(double priorityWeight) {
        return waitingByWeight.tailMap(priorityWeight, true).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    private void changeWaitingByWeight(QueueEntry entry, int change) {
        if (entry.fitsSomeMachine()) {
            waitingByWeight.merge(entry.request().priorityWeight(), change, TenantQueue::sumOrNull);
        }
    }

    private static Integer sumOrNull(Integer count, Integer change) {
        int sum = count + change;
        return sum == 0 ? null : Integer.valueOf(sum);
    }
}
