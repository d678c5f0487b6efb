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
                "Check each journal's every line; exit 1 where one is damaged or cannot be"
                        + " read.")
final class StateVerifyCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FOLDER")
    private Path folder;

    @Override
    public Integer call() throws IOException {
        boolean allIntact = true;
        for (Path file : JournalFolder.newestJournals(folder)) {
            JournalContents contents = JournalContents.of(file, null);
            System.out.println(file + ": " + outcome(contents));
            allIntact &= contents.complete() && !contents.foreign();
        }
        return ExitCode.ofCheck(allIntact);
    }

    private static String outcome(JournalContents contents) {
        return contents.problem().isEmpty()
                ? "whole, " + contents.records().size() + " lines"
                : contents.problem();
    }
}
