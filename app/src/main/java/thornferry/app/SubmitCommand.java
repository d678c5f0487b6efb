package thornferry.app;

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

@Command(
        name = "submit",
        description = "Place a task and wait for its result.",
        footer = {
            "",
            "Example:",
            "  thornferry submit --class depot-sync --key depot-7 --service sync",
            "",
            "Exit codes: 0 placed, 3 refused, 4 failed, 1 not taken or no answer, 2 bad use."
        })
final class SubmitCommand implements Callable<Integer> {
    private static final int REFUSED = 3;
    private static final int FAILED = 4;

    @Mixin PlacerOptions placer;

    @Option(
            names = "--class",
            required = true,
            description = "A class of the site's configuration.")
    String taskClass;

    @Option(
            names = "--id",
            description = "The task's name; drawn where absent. The same one is the same task.")
    String id;

    @Option(
            names = "--service",
            description = "Tasks of one service share a program; the class where absent.")
    String service;

    @Option(names = "--key", defaultValue = "", description = "For keyed classes.")
    String key;

    @Option(names = "--cores", defaultValue = "1")
    double cores;

    @Option(names = "--memory", defaultValue = "1")
    double memory;

    @Option(
            names = "--patience-ms",
            description = "How long to wait for a place; the class's where absent.")
    Long patience;

    @Option(
            names = "--runs-for-ms",
            defaultValue = "0",
            description = "How long it will run, where known.")
    long runsFor;

    @Option(
            names = "--follow",
            description = "Stay until the placed task is over and print that too.")
    boolean follow;

    @Option(names = "--json", description = "Print what is told as lines of JSON.")
    boolean json;

    @Override
    public Integer call() throws Exception {
        String name = id == null ? UUID.randomUUID().toString() : id;
        Task.Builder task =
                Task.newBuilder()
                        .setId(name)
                        .setTaskClass(taskClass)
                        .setKey(key)
                        .setCores(cores)
                        .setService(service == null ? taskClass : service)
                        .setMemory(memory)
                        .setRunsForMs(runsFor);
        if (patience != null) {
            task.setPatienceMs(patience);
        }
        CompletableFuture<TaskNews> over = new CompletableFuture<>();
        try (TaskClient client =
                TaskClient.connect(
                        placer.target(),
                        news -> {
                            if (news.getTask().equals(name)) {
                                over.complete(news);
                            }
                        })) {
            TaskNews result = client.submit(task.build()).get();
            print(result);
            if (follow && result.getResult().equals("placed")) {
                print(over.get());
            }
            return switch (result.getResult()) {
                case "placed" -> 0;
                case "refused" -> REFUSED;
                default -> FAILED;
            };
        } catch (ExecutionException e) {
            System.err.println("thornferry: " + e.getCause().getMessage());
            return Main.FAILED;
        }
    }

    private void print(TaskNews news) {
        if (json) {
            System.out.println(Bodies.json(news));
            return;
        }
        String what = news.getResult().isEmpty() ? news.getEvent() : news.getResult();
        System.out.println(
                "task "
                        + news.getTask()
                        + " "
                        + what
                        + (news.getNode().isEmpty() ? "" : " on " + news.getNode())
                        + (news.getReason().isEmpty() ? "" : ": " + news.getReason())
                        + (news.getRetryAfterMs() > 0
                                ? "; try again in " + news.getRetryAfterMs() + " ms"
                                : ""));
    }
}
