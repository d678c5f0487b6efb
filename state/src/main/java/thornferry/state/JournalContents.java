package thornferry.state;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.v1.Incarnation;

/**
 * The contents of one journal file, up to its first entry that is not intact.
 *
 * @param placer the instance that wrote the journal; empty if that cannot be read
 * @param records the intact records, oldest first; none if {@code foreign}
 * @param complete whether nothing is missing, apart from at most one last entry that was being
 *     written
 * @param foreign whether the file belongs to another placer or a later version, or is not a journal
 * @param problem what is wrong with the file, as the end of a sentence that begins with its name;
 *     empty if nothing is
 * @param lastIncarnation the last start of a placer with this journal; null if there was none
 * @param validBytes length of the file up to the end of its last intact entry
 */
public record JournalContents(
        String placer,
        List<JournalRecord> records,
        boolean complete,
        boolean foreign,
        String problem,
        Incarnation lastIncarnation,
        long validBytes) {

    /**
     * Reads a journal file.
     *
     * @param placer the instance that must have written the journal; null for any
     * @throws IOException if the file cannot be read. Damaged contents are not an exception, but
     *     reported by {@link #problem}
     */
    public static JournalContents of(Path file, String placer) throws IOException {
        return JournalReader.read(Storage.SYSTEM, file, Optional.ofNullable(placer));
    }

    /** The contents of a journal that has no file yet. */
    static JournalContents empty(String placer) {
        return new JournalContents(placer, List.of(), true, false, "", null, 0);
    }

    /** The contents of a file that this placer must not use. */
    static JournalContents foreign(String problem) {
        return new JournalContents("", List.of(), false, true, problem, null, 0);
    }
}
