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
 * @param placer the instance that wrote the journal; empty if {@code foreign}
 * @param records the intact records, oldest first; none if {@code foreign}
 * @param complete whether all entries were read, except for at most one incomplete entry at the end
 *     of the file
 * @param foreign whether the file belongs to another placer or a later version, or is not a journal
 * @param problem what is wrong with the file, as the predicate of a sentence whose subject is the
 *     file; empty if there is no problem
 * @param lastIncarnation the last incarnation of the placer that the file records; null if none
 * @param validBytes the length of the file up to the end of its last intact entry; 0 if {@code
 *     foreign}
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
     * @param placer the instance that must have written the journal; null if any may have
     * @throws IOException if the file cannot be read. Damaged contents are reported by {@link
     *     #problem} instead
     */
    public static JournalContents read(Path file, String placer) throws IOException {
        return JournalReader.read(Storage.SYSTEM, file, Optional.ofNullable(placer));
    }

    /** Returns the contents of a journal that has no file yet. */
    static JournalContents empty(String placer) {
        return new JournalContents(placer, List.of(), true, false, "", null, 0);
    }

    /** Returns the contents of a file that this placer must not use. */
    static JournalContents foreign(String problem) {
        return new JournalContents("", List.of(), false, true, problem, null, 0);
    }
}
