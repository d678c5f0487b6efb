package thornferry.placer;

import java.util.List;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.Journal;

/**
 * The state that earlier incarnations of a placer instance left on disk.
 *
 * @param journal the journal to which this incarnation writes
 * @param records the records that the journal contained at the start
 * @param complete whether the journal contains every offer of the earlier incarnations; false
 *     without a journal
 */
record RecoveredState(Journal journal, List<JournalRecord> records, boolean complete) {
    /**
     * The state without a journal: nothing is known of earlier incarnations, and nothing is
     * written.
     */
    static final RecoveredState NO_JOURNAL = new RecoveredState(Journal.NONE, List.of(), false);
}
