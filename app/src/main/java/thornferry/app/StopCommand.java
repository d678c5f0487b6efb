package thornferry.app;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import thornferry.protocol.Destinations;
import thornferry.protocol.v1.StopTask;

@Command(
        name = "stop",
        description = "Stop a task of one's own.",
        footer = {"", "Example:", "  thornferry stop my-task"})
final class StopCommand implements Callable<Integer> {
    @Mixin PlacerOptions placer;

    @Parameters(
            paramLabel = "TASK",
            description = "Its name, as given to submit --id or drawn by it.")
    String task;

    @Override
    public Integer call() throws Exception {
        return placer.send(
                Destinations.STOP,
                StopTask.newBuilder().setId(task).build(),
                "task " + task + " is being stopped");
    }
}
