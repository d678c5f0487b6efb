package thornferry.app;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import thornferry.protocol.Destinations;
import thornferry.protocol.v1.StopTask;

/** Stops a task. */
@Command(
        name = "stop",
        description = "Stop a task of one's own.",
        footer = {"", "Example:", "  thornferry stop my-task"})
final class StopCommand implements Callable<Integer> {
    @Mixin private PlacerOptions placer;

    @Parameters(
            paramLabel = "TASK",
            description = "Its name, as given to submit --id or drawn by it.")
    private String task;

    @Override
    public Integer call() throws IOException {
        StopTask request = StopTask.newBuilder().setId(task).build();
        String successText = "task " + task + " is being stopped";
        return placer.client().request(Destinations.STOP, request, successText);
    }
}
