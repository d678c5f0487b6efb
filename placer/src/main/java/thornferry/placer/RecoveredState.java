package thornferry.placer;

import java.util.List;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.Journal;

/**
 * What earlier incarnations of a placer instance left on disk.
 *
 * @param journal where this incarnation writes
 * @param records what the journal contained at the start
 * @param complete whether the journal contains every offer of the earlier incarnations; false
 *     without a journal
 */
record RecoveredState(Journal journal, List<JournalRecord> records, boolean complete) {
    /** No journal: nothing is known of earlier incarnations, and nothing is written. */
    static final RecoveredState NOTHING = new RecoveredState(Journal.NONE, List.of(), false);
}
