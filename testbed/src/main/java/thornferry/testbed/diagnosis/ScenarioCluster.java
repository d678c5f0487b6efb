package thornferry.testbed.diagnosis;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import thornferry.agent.NodeShape;
import thornferry.client.TaskClient;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;
import thornferry.protocol.v1.Why;
import thornferry.testbed.diagnosis.ScenarioSite.TaskClass;

/** The running site of a scenario: a placer, the clients of two owners, and scripted nodes. */
final class ScenarioCluster implements AutoCloseable {
    /** Name of the task whose pending reason is checked. */
    static final String OBSERVED_TASK = "observed";

    /** Name of the other owner's only task, which must not appear in replies to the owner. */
    static final String OTHER_OWNERS_TASK = "secret";

    private static final Heartbeat HEARTBEAT = new Heartbeat(500, 500);
    private static final String ZONE = "zone-a";
    private static final int CELL = 0;
    private static final String IDEMPOTENCY_KEY = "k";
    private static final long REPLY_TIMEOUT_MILLIS = 5_000;
    private static final long REASON_POLL_MILLIS = 2;
    private static final long CONNECT_POLL_MILLIS = 10;
    private static final long PROCESSING_MILLIS = 50;

    /**
     * The first status of a task that was as expected.
     *
     * @param why the status
     * @param waitedMicros time from the first query to the reply with this status
     */
    record ObservedStatus(Why why, long waitedMicros) {}

    private final LoopbackPlacer placer;
    private final TaskClient owner;
    private final TaskClient otherOwner;
    private final Map<String, ScriptedNode> nodeByName = new HashMap<>();
    private final Map<String, CompletableFuture<TaskNews>> resultByTask = new HashMap<>();

    private ScenarioCluster(LoopbackPlacer placer)
            throws ScenarioFailedException, InterruptedException {
        this.placer = placer;
        this.owner = connectClient(ScenarioSite.OWNER_LOGIN);
        this.otherOwner = connectClient(ScenarioSite.OTHER_OWNER_LOGIN);
    }

    /** Starts a placer without nodes and connects the clients of both owners. */
    static ScenarioCluster start(String extraSettings)
            throws IOException, ScenarioFailedException, InterruptedException {
        LoopbackPlacer placer =
                LoopbackPlacer.start(ScenarioSite.withExtraSettings(extraSettings), HEARTBEAT);
        try {
            return new ScenarioCluster(placer);
        } catch (ScenarioFailedException | InterruptedException e) {
            placer.close();
            throw e;
        }
    }

    private TaskClient connectClient(String login)
            throws ScenarioFailedException, InterruptedException {
        TaskClient client =
                placer.connect(placer.target(login, ScenarioSite.OWNER_PASSCODE), event -> {});
        Stopwatch stopwatch = Stopwatch.start();
        while (!isConnected(client)) {
            if (stopwatch.elapsedMillis() > REPLY_TIMEOUT_MILLIS) {
                throw new ScenarioFailedException("client " + login + " did not connect in time");
            }
            Thread.sleep(CONNECT_POLL_MILLIS);
        }
        return client;
    }

    private static boolean isConnected(TaskClient client)
            throws ScenarioFailedException, InterruptedException {
        return await(
                client.waiting().handle((reply, error) -> error == null), "query of waiting tasks");
    }

    /**
     * Creates a node that is not connected yet. The node replaces an earlier one of the same name.
     */
    ScriptedNode newNode(String name) {
        ScriptedNode node =
                new ScriptedNode(
                        placer.nextLoop(),
                        placer.target(ScenarioSite.NODE_LOGIN, ScenarioSite.NODE_PASSCODE),
                        new NodeShape(
                                name,
                                ScenarioSite.MACHINE_KIND,
                                ZONE,
                                CELL,
                                ScenarioSite.NODE_CORES,
                                ScenarioSite.NODE_MEMORY));
        nodeByName.put(name, node);
        placer.beforeClose(node::close);
        return node;
    }

    /** Starts a node that accepts and runs every task, and returns once it is registered. */
    ScriptedNode startNode(String name) throws ScenarioFailedException, InterruptedException {
        return newNode(name).join();
    }

    /** Returns the last node that was created with the given name. */
    ScriptedNode node(String name) {
        return nodeByName.get(name);
    }

    /** Submits the observed task as the owner. */
    void submitObserved(TaskClass taskClass, double cores) {
        submit(OBSERVED_TASK, taskClass, cores);
    }

    /** Submits a task of the owner, which needs as many units of memory as cores. */
    void submit(String task, TaskClass taskClass, double cores) {
        submitAs(owner, task, taskClass, cores);
    }

    /** Submits a task of the other owner. */
    void submitAsOtherOwner(TaskClass taskClass, double cores) {
        submitAs(otherOwner, OTHER_OWNERS_TASK, taskClass, cores);
    }

    private void submitAs(TaskClient client, String task, TaskClass taskClass, double cores) {
        resultByTask.put(
                task,
                client.submit(
                        Task.newBuilder()
                                .setId(task)
                                .setTaskClass(taskClass.settingName())
                                .setService(taskClass.settingName())
                                .setKey(IDEMPOTENCY_KEY)
                                .setCores(cores)
                                .setMemory(cores)
                                .build()));
    }

    /** Submits a task of the owner and waits until it is placed. */
    void place(String task, TaskClass taskClass, double cores)
            throws ScenarioFailedException, InterruptedException {
        submit(task, taskClass, cores);
        awaitPlaced(task);
    }

    /** Submits a task of the other owner and waits until it is placed. */
    void placeAsOtherOwner(TaskClass taskClass, double cores)
            throws ScenarioFailedException, InterruptedException {
        submitAsOtherOwner(taskClass, cores);
        awaitPlaced(OTHER_OWNERS_TASK);
    }

    /** Waits for the result of a task, which must be {@code placed}. */
    void awaitPlaced(String task) throws ScenarioFailedException, InterruptedException {
        TaskNews result = await(resultByTask.get(task), "placement of task " + task);
        if (!result.getResult().equals("placed")) {
            throw new ScenarioFailedException(
                    "task %s should have been placed, not %s: %s"
                            .formatted(task, result.getResult(), result.getReason()));
        }
    }

    /** Polls until the placer reports the expected reason for a task of the owner. */
    ObservedStatus awaitReason(String task, ExpectedReason expected)
            throws ScenarioFailedException, InterruptedException {
        return awaitStatus(task, expected::matches, expected.toString());
    }

    /** Polls until the status of a task of the owner satisfies a condition. */
    ObservedStatus awaitStatus(String task, Predicate<Why> condition, String description)
            throws ScenarioFailedException, InterruptedException {
        Stopwatch stopwatch = Stopwatch.start();
        Why why = Why.getDefaultInstance();
        while (stopwatch.elapsedMillis() < REPLY_TIMEOUT_MILLIS) {
            why = status(task);
            if (condition.test(why)) {
                return new ObservedStatus(why, stopwatch.elapsedMicros());
            }
            Thread.sleep(REASON_POLL_MILLIS);
        }
        throw new ScenarioFailedException(
                "expected %s as the status of task %s, but was %s"
                        .formatted(description, task, why));
    }

    /** Queries the status of a task of the owner. */
    Why status(String task) throws ScenarioFailedException, InterruptedException {
        return await(owner.why(task), "query of task " + task);
    }

    /** Queries the status of a task as the other owner. */
    Why statusAsOtherOwner(String task) throws ScenarioFailedException, InterruptedException {
        return await(otherOwner.why(task), "query of task " + task);
    }

    /** Gives the placer time to process messages that a node sent without requesting a receipt. */
    void allowProcessing() throws InterruptedException {
        Thread.sleep(PROCESSING_MILLIS);
    }

    private static <T> T await(CompletableFuture<T> future, String description)
            throws ScenarioFailedException, InterruptedException {
        try {
            return future.get(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new ScenarioFailedException(description, e);
        }
    }

    @Override
    public void close() {
        placer.close();
    }
}
