package thornferry.app;

import java.util.List;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.recovery.Recovery;

/** Replays a journal as a starting placer does, but without forgetting anything by its age. */
final class JournalReplay {
    /** Far beyond any real setting, and still safe to add to a time. */
    private static final long UNLIMITED_MICROS = Long.MAX_VALUE / 8;

    private static final Recovery.Limits UNLIMITED =
            new Recovery.Limits(
                    UNLIMITED_MICROS, UNLIMITED_MICROS, UNLIMITED_MICROS, Integer.MAX_VALUE, true);

    private JournalReplay() {}

    /** The records that are still in effect after all others. */
    static List<JournalRecord> snapshot(List<JournalRecord> records) {
        Recovery recovery = new Recovery(UNLIMITED);
        records.forEach(recovery::apply);
        return recovery.snapshot();
    }
}
