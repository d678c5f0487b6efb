package thornferry.app;

import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.protocol.Bodies;
import thornferry.protocol.Destinations;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.v1.Reason;
import thornferry.protocol.v1.Why;
import thornferry.protocol.v1.WhyQuery;

@Command(
        name = "why",
        description = "Why a task of one's own waits, or what became of it.",
        footer = {
            "",
            "Examples:",
            "  thornferry why my-task",
            "  thornferry why --watch my-task",
            "",
            "Exit codes: 0 it is known, 3 it is not, 1 no answer, 2 bad use."
        })
final class WhyCommand implements Callable<Integer> {
    private static final int UNKNOWN = 3;
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneId.systemDefault());

    @Mixin PlacerOptions placer;

    @Option(names = "--json", description = "Print lines of JSON.")
    boolean json;

    @Option(names = "--watch", description = "Print each change until it waits no longer.")
    boolean watch;

    @Parameters(paramLabel = "TASK")
    String task;

    @Override
    public Integer call() throws Exception {
        Why why =
                placer.ask(
                        Destinations.WHY,
                        WhyQuery.newBuilder().setTask(task).build(),
                        Why.newBuilder());
        if (why.getState().equals("unknown")) {
            System.err.println("thornferry: no task " + task + " of yours is known");
            return UNKNOWN;
        }
        print(why);
        if (watch && why.getState().equals("waiting")) {
            watch();
        }
        return 0;
    }

    private void watch() throws Exception {
        placer.exchange(
                24 * 3_600_000L,
                c -> c.subscribe("waiting", Destinations.WAITING, "auto"),
                (frame, over) -> {
                    try {
                        Why why = Bodies.read(frame, Why.newBuilder());
                        if (why.getTask().equals(task)) {
                            print(why);
                            if (!why.getState().equals("waiting")) {
                                over.complete(0);
                            }
                        }
                    } catch (ProtocolException e) {
                        over.completeExceptionally(e);
                    }
                },
                new CompletableFuture<Integer>());
    }

    private void print(Why why) {
        if (json) {
            System.out.println(Bodies.json(why));
            return;
        }
        System.out.println(
                "task "
                        + why.getTask()
                        + " "
                        + (why.hasReason()
                                ? "waits: " + why.getReason().getSentence()
                                : why.getState()));
        for (Reason.Evidence e : why.getReason().getEvidenceList()) {
            System.out.println(
                    "  "
                            + e.getWhat()
                            + (e.getName().isEmpty() ? "" : " " + e.getName())
                            + (e.getNodes() > 0 ? ", nodes: " + e.getNodes() : "")
                            + (e.hasNeeds() ? ", " + e.getNeeds() : "")
                            + (e.hasHas() ? ", has " + e.getHas() : ""));
        }
        if (why.getHistoryCount() > 0) {
            System.out.println(
                    "asked for "
                            + why.getAsks()
                            + " times, offered "
                            + why.getAttempts()
                            + " times; so far:");
        }
        for (Why.Change c : why.getHistoryList()) {
            System.out.println(
                    "  "
                            + TIME.format(Instant.ofEpochMilli(c.getAtMs()))
                            + "  "
                            + c.getState()
                            + (c.hasReason()
                                    ? ": "
                                            + c.getReason()
                                                    .getKind()
                                                    .name()
                                                    .toLowerCase(java.util.Locale.ROOT)
                                                    .replace('_', ' ')
                                    : ""));
        }
        System.out.flush();
    }
}
