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

/** Prints what the journals of a placer hold. */
@Command(
        name = "show",
        description = "Tell what each journal holds: tasks offered, placed, failed or over.")
final class StateShowCommand implements Callable<Integer> {
    private final ObjectMapper mapper = new ObjectMapper();

    @Parameters(paramLabel = "FOLDER")
    private Path folder;

    @Option(names = "--tasks", description = "Name each task.")
    private boolean tasks;

    @Option(
            names = "--json",
            description = "One JSON object a journal, and with --tasks one a task.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        for (Path file : JournalFolder.newestJournals(folder)) {
            JournalContents contents = JournalContents.of(file, null);
            List<JournaledTask> journaled =
                    JournaledTask.in(JournalReplay.snapshot(contents.records()));
            System.out.println(
                    json
                            ? summaryAsJson(file, contents, countByState(journaled))
                            : summary(file, contents, countByState(journaled)));
            if (tasks) {
                journaled.forEach(this::print);
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
                + " lines, "
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
