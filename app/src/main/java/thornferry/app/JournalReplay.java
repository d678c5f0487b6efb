package thornferry.app;

import java.util.List;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.recovery.Recovery;

/** Replays a journal as a placer does on startup, but without expiring old records. */
final class JournalReplay {
    /** Exceeds any practical setting, and does not overflow when added to a time. */
    private static final long UNLIMITED_MICROS = Long.MAX_VALUE / 8;

    private static final Recovery.Limits UNLIMITED =
            new Recovery.Limits(
                    UNLIMITED_MICROS, UNLIMITED_MICROS, UNLIMITED_MICROS, Integer.MAX_VALUE, true);

    private JournalReplay() {}

    /** Returns the records that are still in effect after all records have been applied. */
    static List<JournalRecord> snapshot(List<JournalRecord> records) {
        Recovery recovery = new Recovery(UNLIMITED);
        records.forEach(recovery::apply);
        return recovery.snapshot();
    }
}
