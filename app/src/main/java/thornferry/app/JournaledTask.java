package thornferry.app;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.JournalWords;

/**
 * A task that a journal holds; the names of the components are those of the JSON output.
 *
 * @param state {@code offered}, its result, or the cause of its termination
 * @param node the machine of its last attempt; empty if unknown
 */
record JournaledTask(String owner, String task, String taskClass, String state, String node) {
    private static final String OFFERED = "offered";

    /** Identifies a task: ids are unique for each owner only. */
    private record Key(String owner, String task) {}

    /** The tasks of a snapshot, each in its last state. */
    static List<JournaledTask> in(List<JournalRecord> snapshot) {
        Map<Key, JournaledTask> tasks = new LinkedHashMap<>();
        for (JournalRecord record : snapshot) {
            if (record instanceof JournalRecord.Offered offered) {
                put(tasks, of(offered));
            } else if (record instanceof JournalRecord.Completed completed) {
                put(tasks, of(completed));
            } else if (record instanceof JournalRecord.Finished finished) {
                Key key = new Key(finished.owner(), finished.task());
                put(tasks, of(finished, tasks.get(key)));
            }
        }
        return List.copyOf(tasks.values());
    }

    private static void put(Map<Key, JournaledTask> tasks, JournaledTask task) {
        tasks.put(new Key(task.owner, task.task), task);
    }

    private static JournaledTask of(JournalRecord.Offered offered) {
        return new JournaledTask(
                offered.owner(),
                offered.spec().id(),
                offered.spec().taskClass(),
                OFFERED,
                offered.machine());
    }

    private static JournaledTask of(JournalRecord.Completed completed) {
        return new JournaledTask(
                completed.owner(),
                completed.spec().id(),
                completed.spec().taskClass(),
                JournalWords.of(completed.result()).toLowerCase(Locale.ROOT),
                completed.machine());
    }

    /** Only earlier records, of which there may be none, tell the class and the machine. */
    private static JournaledTask of(JournalRecord.Finished finished, JournaledTask earlier) {
        return new JournaledTask(
                finished.owner(),
                finished.task(),
                earlier == null ? "" : earlier.taskClass,
                JournalWords.of(finished.terminationCause()).toLowerCase(Locale.ROOT),
                earlier == null ? "" : earlier.node);
    }
}
