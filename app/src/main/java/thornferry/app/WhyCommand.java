package thornferry.app;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.protocol.Bodies;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.v1.Why;
import thornferry.protocol.v1.WhyQuery;

/** Prints why a task is pending, or its outcome. */
@Command(
        name = "why",
        description = "Explains why one of your tasks is pending, or prints its outcome.",
        footer = {
            "",
            "Examples:",
            "  thornferry why my-task",
            "  thornferry why --watch my-task",
            "",
            "Exit codes: 0 the task is known, 1 no response, 2 invalid usage, 3 the task is"
                    + " unknown."
        })
final class WhyCommand implements Callable<Integer> {
    /** The states of a task, as they are named in the protocol. */
    private static final String UNKNOWN = "unknown";

    private static final String PENDING = "waiting";

    private static final Duration WATCH_TIMEOUT = Duration.ofDays(1);

    @Mixin private PlacerOptions placer;

    @Option(names = "--json", description = "Prints lines of JSON.")
    private boolean json;

    @Option(
            names = "--watch",
            description = "Prints each change until the task is no longer pending.")
    private boolean watch;

    @Parameters(paramLabel = "TASK", description = "Id of the task.")
    private String task;

    @Override
    public Integer call() throws IOException {
        WhyQuery query = WhyQuery.newBuilder().setTask(task).build();
        Why why = placer.client().query(Destinations.WHY, query, Why.getDefaultInstance());
        if (why.getState().equals(UNKNOWN)) {
            System.err.println("thornferry: no task " + task + " of yours is known");
            return ExitCode.TASK_UNKNOWN;
        }
        print(why);
        if (watch && isPending(why)) {
            printChanges();
        }
        return ExitCode.OK;
    }

    /** Prints each change until the task is no longer pending. */
    private void printChanges() throws IOException {
        placer.client()
                .subscribe("waiting", Destinations.WAITING, WATCH_TIMEOUT, this::printIfOfThisTask);
    }

    private Optional<Why> printIfOfThisTask(Frame message) throws ProtocolException {
        Why why = Bodies.read(message, Why.getDefaultInstance());
        if (!why.getTask().equals(task)) {
            return Optional.empty();
        }
        print(why);
        return isPending(why) ? Optional.empty() : Optional.of(why);
    }

    private static boolean isPending(Why why) {
        return why.getState().equals(PENDING);
    }

    private void print(Why why) {
        if (json) {
            System.out.println(Bodies.json(why));
        } else {
            WhyText.lines(why).forEach(System.out::println);
            System.out.flush();
        }
    }
}
