package thornferry.app;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.Durability;
import thornferry.state.JournalContents;
import thornferry.state.JournalFile;

/** Replaces the journal of a stopped instance with a snapshot of its records. */
@Command(
        name = "compact",
        description =
                "Rewrites the journal of one instance with only the records in effect. The instance"
                        + " must be stopped.")
final class StateCompactCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FOLDER", description = "State folder of one instance.")
    private Path folder;

    @Override
    public Integer call() throws IOException {
        JournalContents contents = readIntactJournal();
        try (JournalFile journal =
                JournalFile.open(folder, contents.placer(), durability(contents))) {
            List<JournalRecord> snapshot = JournalReplay.snapshot(journal.records());
            journal.startIncarnation(snapshot);
            System.out.println(
                    folder
                            + ": "
                            + journal.records().size()
                            + " records before, "
                            + snapshot.size()
                            + " after");
        }
        return ExitCode.OK;
    }

    private JournalContents readIntactJournal() throws IOException {
        Path file = JournalFolder.newestJournals(folder).get(0);
        if (!file.getParent().equals(folder)) {
            throw new IOException(
                    folder
                            + " contains the folders of instances; specify one of them, such as "
                            + file.getParent());
        }
        JournalContents contents = JournalContents.read(file, null);
        if (contents.foreign() || !contents.complete()) {
            throw new IOException(file + " " + contents.problem() + "; the journal is not changed");
        }
        return contents;
    }

    /** Returns the durability with which the journal was last written. */
    private static Durability durability(JournalContents contents) {
        return contents.lastIncarnation() == null
                ? Durability.OS
                : Durability.valueOf(contents.lastIncarnation().getDurability());
    }
}
