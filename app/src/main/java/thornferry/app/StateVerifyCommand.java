package thornferry.app;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import thornferry.state.JournalContents;

/** Checks the journals of a placer for damage. */
@Command(
        name = "verify",
        description =
                "Verifies every record of each journal. The exit code is 1 if a journal is damaged"
                        + " or cannot be read.")
final class StateVerifyCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "FOLDER",
            description = "State folder of a placer or of one of its instances.")
    private Path folder;

    @Override
    public Integer call() throws IOException {
        boolean allIntact = true;
        for (Path file : JournalFolder.newestJournals(folder)) {
            JournalContents contents = JournalContents.read(file, null);
            System.out.println(file + ": " + outcome(contents));
            allIntact &= contents.complete() && !contents.foreign();
        }
        return ExitCode.ofCheck(allIntact);
    }

    private static String outcome(JournalContents contents) {
        return contents.problem().isEmpty()
                ? "intact, " + contents.records().size() + " records"
                : contents.problem();
    }
}
