package thornferry.app;

import java.io.IOException;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import thornferry.client.TaskClient;
import thornferry.protocol.Bodies;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;

/** Submits a task and waits for its result and, if requested, for its end. */
@Command(
        name = "submit",
        description = "Submits a task and waits for its result.",
        footer = {
            "",
            "Example:",
            "  thornferry submit --class depot-sync --key depot-7 --service sync",
            "",
            "Exit codes: 0 placed, 1 invalid request or no response, 2 invalid usage, 3 rejected,"
                    + " 4 failed."
        })
final class SubmitCommand implements Callable<Integer> {
    /** The results of a request, as they are named in the protocol. */
    private static final String PLACED = "placed";

    private static final String REJECTED = "refused";

    @Mixin private PlacerOptions placer;

    @Option(
            names = "--class",
            required = true,
            description = "Task class, as named in the site's configuration.")
    private String taskClass;

    @Option(
            names = "--id",
            description =
                    "Id of the task, under which repeated submissions are the same task; default: a"
                            + " random id.")
    private String id;

    @Option(
            names = "--service",
            description =
                    "Service of the task; the tasks of a service share a program; default: the name"
                            + " of the task class.")
    private String service;

    @Option(
            names = "--key",
            defaultValue = "",
            description = "Idempotency key; used by keyed task classes only.")
    private String key;

    @Option(
            names = "--cores",
            defaultValue = "1",
            description = "CPU cores that the task requires; default: ${DEFAULT-VALUE}.")
    private double cores;

    @Option(
            names = "--memory",
            defaultValue = "1",
            description =
                    "Memory that the task requires, in the unit of the site's configuration;"
                            + " default: ${DEFAULT-VALUE}.")
    private double memory;

    @Option(
            names = "--patience-ms",
            paramLabel = "<patience>",
            description =
                    "Longest time to wait for a placement, in milliseconds; default: that of the"
                            + " task class.")
    private Long maxWaitMillis;

    @Option(
            names = "--runs-for-ms",
            paramLabel = "<runsFor>",
            defaultValue = "0",
            description =
                    "Expected run time of the task, in milliseconds; 0 if unknown; default:"
                            + " ${DEFAULT-VALUE}.")
    private long expectedRunMillis;

    @Option(
            names = "--follow",
            description = "Waits until a placed task ends and prints how it ended.")
    private boolean follow;

    @Option(
            names = "--json",
            description = "Prints the result and the end of the task as lines of JSON.")
    private boolean json;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Task task = task();
        CompletableFuture<TaskNews> end = new CompletableFuture<>();
        try (TaskClient client =
                TaskClient.connect(
                        placer.target(),
                        event -> {
                            if (event.getTask().equals(task.getId())) {
                                end.complete(event);
                            }
                        })) {
            TaskNews result = client.submit(task).get();
            print(result);
            if (follow && result.getResult().equals(PLACED)) {
                print(end.get());
            }
            return exitCode(result);
        } catch (ExecutionException e) {
            System.err.println("thornferry: " + e.getCause().getMessage());
            return ExitCode.FAILED;
        }
    }

    private Task task() {
        Task.Builder task =
                Task.newBuilder()
                        .setId(id == null ? UUID.randomUUID().toString() : id)
                        .setTaskClass(taskClass)
                        .setKey(key)
                        .setCores(cores)
                        .setService(service == null ? taskClass : service)
                        .setMemory(memory)
                        .setRunsForMs(expectedRunMillis);
        if (maxWaitMillis != null) {
            task.setPatienceMs(maxWaitMillis);
        }
        return task.build();
    }

    private static int exitCode(TaskNews result) {
        return switch (result.getResult()) {
            case PLACED -> ExitCode.OK;
            case REJECTED -> ExitCode.TASK_REJECTED;
            default -> ExitCode.TASK_FAILED;
        };
    }

    private void print(TaskNews notification) {
        System.out.println(json ? Bodies.json(notification) : sentence(notification));
    }

    private static String sentence(TaskNews notification) {
        String result = notification.getResult();
        StringBuilder sentence =
                new StringBuilder("task ")
                        .append(notification.getTask())
                        .append(' ')
                        .append(result.isEmpty() ? notification.getEvent() : result);
        if (!notification.getNode().isEmpty()) {
            sentence.append(" on ").append(notification.getNode());
        }
        if (!notification.getReason().isEmpty()) {
            sentence.append(": ").append(notification.getReason());
        }
        if (notification.getRetryAfterMs() > 0) {
            sentence.append("; try again in ").append(notification.getRetryAfterMs()).append(" ms");
        }
        return sentence.toString();
    }
}
