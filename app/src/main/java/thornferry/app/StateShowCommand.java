package thornferry.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.state.JournalContents;

/** Prints the contents of the journals of a placer. */
@Command(name = "show", description = "Prints the number of tasks in each state for each journal.")
final class StateShowCommand implements Callable<Integer> {
    private final ObjectMapper mapper = new ObjectMapper();

    @Parameters(
            paramLabel = "FOLDER",
            description = "State folder of a placer or of one of its instances.")
    private Path folder;

    @Option(names = "--tasks", description = "Prints each task too.")
    private boolean tasks;

    @Option(
            names = "--json",
            description =
                    "Prints one JSON object for each journal and, with --tasks, one for each task.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        for (Path file : JournalFolder.newestJournals(folder)) {
            JournalContents contents = JournalContents.read(file, null);
            List<JournaledTask> journaledTasks =
                    JournaledTask.fromSnapshot(JournalReplay.snapshot(contents.records()));
            System.out.println(
                    json
                            ? summaryAsJson(file, contents, countByState(journaledTasks))
                            : summary(file, contents, countByState(journaledTasks)));
            if (tasks) {
                journaledTasks.forEach(this::print);
            }
        }
        return ExitCode.OK;
    }

    private static Map<String, Long> countByState(List<JournaledTask> tasks) {
        Map<String, Long> counts = new LinkedHashMap<>();
        tasks.forEach(task -> counts.merge(task.state(), 1L, Long::sum));
        return counts;
    }

    private String summaryAsJson(Path file, JournalContents contents, Map<String, Long> counts) {
        ObjectNode summary =
                mapper.createObjectNode()
                        .put("file", file.toString())
                        .put("placer", contents.placer())
                        .put("lines", contents.records().size())
                        .put("whole", contents.complete())
                        .put("trouble", contents.problem());
        counts.forEach(summary::put);
        return summary.toString();
    }

    private static String summary(Path file, JournalContents contents, Map<String, Long> counts) {
        String problem = contents.problem().isEmpty() ? "" : "; " + contents.problem();
        return file
                + ": placer "
                + contents.placer()
                + ", "
                + contents.records().size()
                + " records, "
                + counts
                + problem;
    }

    private void print(JournaledTask task) {
        if (json) {
            System.out.println(mapper.valueToTree(task).toString());
        } else {
            System.out.printf(
                    "  %-12s %-24s %-16s %-10s %s%n",
                    task.owner(), task.task(), task.taskClass(), task.state(), task.node());
        }
    }
}
