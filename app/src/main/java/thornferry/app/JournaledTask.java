package thornferry.app;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.StoredNames;

/**
 * A task recorded in a journal. The component names are the keys of the JSON output.
 *
 * @param state {@code offered}, its result, or the cause of its termination
 * @param node the machine of its last attempt; empty if unknown
 */
record JournaledTask(String owner, String task, String taskClass, String state, String node) {
    private static final String OFFERED = "offered";

    /** The identity of a task; task ids are unique only within an owner. */
    private record Key(String owner, String task) {}

    /** Returns the tasks of a snapshot, each in its last state. */
    static List<JournaledTask> fromSnapshot(List<JournalRecord> snapshot) {
        Map<Key, JournaledTask> tasks = new LinkedHashMap<>();
        for (JournalRecord record : snapshot) {
            if (record instanceof JournalRecord.Offered offered) {
                put(tasks, fromOffered(offered));
            } else if (record instanceof JournalRecord.Completed completed) {
                put(tasks, fromCompleted(completed));
            } else if (record instanceof JournalRecord.Finished finished) {
                Key key = new Key(finished.owner(), finished.task());
                put(tasks, fromFinished(finished, tasks.get(key)));
            }
        }
        return List.copyOf(tasks.values());
    }

    private static void put(Map<Key, JournaledTask> tasks, JournaledTask task) {
        tasks.put(new Key(task.owner, task.task), task);
    }

    private static JournaledTask fromOffered(JournalRecord.Offered offered) {
        return new JournaledTask(
                offered.owner(),
                offered.spec().id(),
                offered.spec().taskClass(),
                OFFERED,
                offered.machine());
    }

    private static JournaledTask fromCompleted(JournalRecord.Completed completed) {
        return new JournaledTask(
                completed.owner(),
                completed.spec().id(),
                completed.spec().taskClass(),
                StoredNames.storedName(completed.result()).toLowerCase(Locale.ROOT),
                completed.machine());
    }

    /**
     * Creates the task of a finished record. The record itself contains neither task class nor
     * machine.
     *
     * @param earlier the task as recorded earlier, with both; null if there is no earlier record
     */
    private static JournaledTask fromFinished(
            JournalRecord.Finished finished, JournaledTask earlier) {
        return new JournaledTask(
                finished.owner(),
                finished.task(),
                earlier == null ? "" : earlier.taskClass,
                StoredNames.storedName(finished.terminationCause()).toLowerCase(Locale.ROOT),
                earlier == null ? "" : earlier.node);
    }
}
