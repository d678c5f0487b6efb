package thornferry.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.recovery.Recovery;
import thornferry.state.Durability;
import thornferry.state.JournalContents;
import thornferry.state.JournalFile;
import thornferry.state.JournalWords;

@Command(
        name = "state",
        description = "Look at, check or compact what a placer keeps over restarts.",
        subcommands = {
            StateCommand.Show.class,
            StateCommand.Verify.class,
            StateCommand.Compact.class
        },
        footer = {
            "",
            "FOLDER is that of the configuration's [state] table, or of one instance below it.",
            "",
            "Examples:",
            "  thornferry state show state --tasks",
            "  thornferry state verify state && thornferry state compact state/placer-0"
        })
final class StateCommand extends Main.Group {
    /** Far beyond any real setting: here nothing is to be forgotten by its age. */
    private static final long EVER = Long.MAX_VALUE / 8;

    /** The newest journal of each instance's folder. */
    private static List<Path> newest(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + " is no folder");
        }
        List<Path> found = new ArrayList<>();
        List<Path> folders = new ArrayList<>(List.of(folder));
        try (var below = Files.list(folder)) {
            below.filter(Files::isDirectory).sorted().forEach(folders::add);
        }
        for (Path each : folders) {
            List<Path> files = JournalFile.files(each);
            if (!files.isEmpty()) {
                found.add(files.get(files.size() - 1));
            }
        }
        if (found.isEmpty()) {
            throw new IOException("no journal in " + folder + ", nor in a folder below it");
        }
        return found;
    }

    private static Recovery recovery(List<JournalRecord> promises) {
        Recovery recovery =
                new Recovery(new Recovery.Limits(EVER, EVER, EVER, Integer.MAX_VALUE, true));
        promises.forEach(recovery::apply);
        return recovery;
    }

    private record Row(String owner, String task, String taskClass, String state, String node) {}

    private static List<Row> rows(List<JournalRecord> snapshot) {
        Map<String, Row> rows = new LinkedHashMap<>();
        for (JournalRecord p : snapshot) {
            if (p instanceof JournalRecord.Offered o) {
                put(
                        rows,
                        new Row(
                                o.owner(),
                                o.spec().id(),
                                o.spec().taskClass(),
                                "offered",
                                o.machine()));
            } else if (p instanceof JournalRecord.Completed a) {
                put(
                        rows,
                        new Row(
                                a.owner(),
                                a.spec().id(),
                                a.spec().taskClass(),
                                JournalWords.of(a.result()).toLowerCase(Locale.ROOT),
                                a.machine()));
            } else if (p instanceof JournalRecord.Finished f) {
                Row before = rows.get(f.owner() + "\n" + f.task());
                put(
                        rows,
                        new Row(
                                f.owner(),
                                f.task(),
                                before == null ? "" : before.taskClass(),
                                JournalWords.of(f.terminationCause()).toLowerCase(Locale.ROOT),
                                before == null ? "" : before.node()));
            }
        }
        return List.copyOf(rows.values());
    }

    private static void put(Map<String, Row> rows, Row row) {
        rows.put(row.owner() + "\n" + row.task(), row);
    }

    @Command(
            name = "show",
            description = "Tell what each journal holds: tasks offered, placed, failed or over.")
    static final class Show implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER")
        Path folder;

        @Option(names = "--tasks", description = "Name each task.")
        boolean tasks;

        @Option(
                names = "--json",
                description = "One JSON object a journal, and with --tasks one a task.")
        boolean json;

        @Override
        public Integer call() throws IOException {
            ObjectMapper mapper = new ObjectMapper();
            for (Path file : newest(folder)) {
                JournalContents reading = JournalContents.of(file, null);
                List<Row> rows = rows(recovery(reading.records()).snapshot());
                Map<String, Long> counts = new LinkedHashMap<>();
                rows.forEach(r -> counts.merge(r.state(), 1L, Long::sum));
                if (json) {
                    ObjectNode line =
                            mapper.createObjectNode()
                                    .put("file", file.toString())
                                    .put("placer", reading.placer())
                                    .put("lines", reading.records().size())
                                    .put("whole", reading.complete())
                                    .put("trouble", reading.problem());
                    counts.forEach(line::put);
                    System.out.println(line);
                } else {
                    System.out.println(
                            file
                                    + ": placer "
                                    + reading.placer()
                                    + ", "
                                    + reading.records().size()
                                    + " lines, "
                                    + counts
                                    + (reading.problem().isEmpty()
                                            ? ""
                                            : "; " + reading.problem()));
                }
                for (Row r : tasks ? rows : List.<Row>of()) {
                    if (json) {
                        System.out.println(mapper.valueToTree(r).toString());
                    } else {
                        System.out.printf(
                                "  %-12s %-24s %-16s %-10s %s%n",
                                r.owner(), r.task(), r.taskClass(), r.state(), r.node());
                    }
                }
            }
            return 0;
        }
    }

    @Command(
            name = "verify",
            description =
                    "Check each journal's every line; exit 1 where one is damaged or cannot be"
                            + " read.")
    static final class Verify implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER")
        Path folder;

        @Override
        public Integer call() throws IOException {
            boolean good = true;
            for (Path file : newest(folder)) {
                JournalContents reading = JournalContents.of(file, null);
                good &= reading.complete() && !reading.foreign();
                System.out.println(
                        file
                                + ": "
                                + (reading.problem().isEmpty()
                                        ? "whole, " + reading.records().size() + " lines"
                                        : reading.problem()));
            }
            return good ? 0 : Main.FAILED;
        }
    }

    @Command(
            name = "compact",
            description =
                    "Write one instance's journal anew with only what still counts; not while it"
                            + " runs.")
    static final class Compact implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", description = "Of one instance.")
        Path folder;

        @Override
        public Integer call() throws IOException {
            Path file = newest(folder).get(0);
            if (!file.getParent().equals(folder)) {
                throw new IOException(
                        folder
                                + " holds folders of instances; name one of them, such as "
                                + file.getParent());
            }
            JournalContents reading = JournalContents.of(file, null);
            if (reading.foreign() || !reading.complete()) {
                throw new IOException(file + " " + reading.problem() + "; it is left as it is");
            }
            Durability durability =
                    reading.lastIncarnation() == null
                            ? Durability.OS
                            : Durability.valueOf(reading.lastIncarnation().getDurability());
            try (JournalFile journal = JournalFile.open(folder, reading.placer(), durability)) {
                List<JournalRecord> left = recovery(journal.records()).snapshot();
                journal.startIncarnation(left);
                System.out.println(
                        folder
                                + ": "
                                + journal.records().size()
                                + " lines before, "
                                + left.size()
                                + " now");
            }
            return 0;
        }
    }
}
