package thornferry.placer;

import static thornferry.placer.SiteFixtures.MILLISECOND;
import static thornferry.placer.SiteFixtures.SECOND;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import thornferry.decisions.admission.AdmissionSettings;
import thornferry.decisions.admission.Quota;
import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.TopologyScope;
import thornferry.decisions.placement.Policy;
import thornferry.decisions.requests.InvalidRequestException;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.ResultNotification;
import thornferry.decisions.requests.TaskSpec;

/** A placer in virtual time, with nodes and clients whose actions are random. */
final class PendingReasonsSimulation implements PlacerOutput {
    static final String SAFE = "safe";
    static final String KEYED = "keyed";
    static final String UNSAFE = "unsafe";
    static final String SPREAD = "spread";
    static final int MAX_TASKS_PER_OWNER = 4;

    private static final List<String> CLASSES = List.of(SAFE, KEYED, UNSAFE, SPREAD);
    private static final int NODES = 3;
    private static final long TICK_MILLIS = 20;

    /** More cores than any machine has. */
    private static final double UNSATISFIABLE_CORES = 40;

    /** A request of a client. */
    record Request(String owner, TaskSpec spec) {
        String key() {
            return key(owner, spec.id());
        }

        static String key(String owner, String task) {
            return owner + "/" + task;
        }
    }

    private final SplittableRandom random;
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final PlacerCore core;
    private final List<RandomizedNode> nodes = new ArrayList<>();
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<String, String> lastResults = new HashMap<>();
    private final Set<String> requestsRejectedForKey = new HashSet<>();
    private final Set<String> rejectedRequests = new HashSet<>();
    private final List<Runnable> deferredActions = new ArrayList<>();
    private long nowMicros = 1_000 * SECOND;
    private long lastConnection;
    private int taskCount;

    PendingReasonsSimulation(long seed) {
        random = new SplittableRandom(seed);
        channel.freezeTime();
        core =
                new PlacerCore(
                        new PlacerInstance(site(seed), 0, channel.eventLoop(), () -> nowMicros),
                        Policy::new,
                        owner -> "t" + owner.charAt(1),
                        RecoveredState.NO_JOURNAL,
                        this);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new RandomizedNode("n" + i));
        }
    }

    private static Site site(long seed) {
        Quota ownerQuota =
                new Quota(
                        100,
                        MAX_TASKS_PER_OWNER,
                        Double.POSITIVE_INFINITY,
                        Double.POSITIVE_INFINITY,
                        1e9,
                        1e9);
        return SiteFixtures.site(
                seed,
                RandomizedNode.CORES,
                List.of(
                        SiteFixtures.taskClass(SAFE, Idempotency.IDEMPOTENT),
                        SiteFixtures.taskClass(KEYED, Idempotency.IDEMPOTENT_WITH_KEY),
                        SiteFixtures.taskClass(UNSAFE, Idempotency.NON_IDEMPOTENT),
                        SiteFixtures.taskClass(
                                SPREAD, Idempotency.IDEMPOTENT, TopologyScope.MACHINE)),
                new RequestTracker.Limits(
                        1_000, 10_000, 30 * SECOND, 60 * SECOND, 0, SECOND, 8 * SECOND),
                AdmissionSettings.defaults()
                        .withQuotas(ownerQuota, null, null, Map.of("t0", 0.5, "t1", 0.5)));
    }

    // ---- the true state, for the oracle ----

    long now() {
        return nowMicros;
    }

    PlacerCore core() {
        return core;
    }

    List<RandomizedNode> nodes() {
        return nodes;
    }

    Map<String, Request> requests() {
        return requests;
    }

    /** Returns the last result of each request that has one, by key of the request. */
    Map<String, String> lastResults() {
        return lastResults;
    }

    boolean wasRejected(Request request) {
        return rejectedRequests.contains(request.key());
    }

    boolean wasRejectedForKey(Request request) {
        return requestsRejectedForKey.contains(request.key());
    }

    // ---- time ----

    /** Runs the deferred actions and the tasks of the event loop that are due. */
    void runPendingTasks() {
        List<Runnable> due = List.copyOf(deferredActions);
        deferredActions.clear();
        due.forEach(Runnable::run);
        channel.runPendingTasks();
    }

    void advance(long durationMicros) {
        long endMicros = nowMicros + durationMicros;
        while (nowMicros < endMicros) {
            nowMicros += TICK_MILLIS * MILLISECOND;
            channel.advanceTimeBy(TICK_MILLIS, TimeUnit.MILLISECONDS);
            runPendingTasks();
            core.tick();
            runPendingTasks();
        }
    }

    /** Advances the time by a random number of ticks. */
    void advanceRandomly() {
        advance(TICK_MILLIS * MILLISECOND * (1 + random.nextInt(12)));
    }

    // ---- actions of clients and nodes ----

    /** Performs a random action of a client, a node or an operator. */
    void performRandomAction() throws InvalidRequestException {
        RandomizedNode node = nodes.get(random.nextInt(nodes.size()));
        switch (random.nextInt(14)) {
            case 0, 1, 2, 3, 4 -> submit();
            case 5, 6 -> endTask(node);
            case 7 -> connect(node);
            case 8 -> {
                if (random.nextInt(3) == 0) {
                    disconnect(node);
                }
            }
            case 9 -> {
                node.draining = node.knownToPlacer && random.nextBoolean();
                core.drain(node.name, node.draining);
            }
            case 10 -> node.withholdsAnswers = random.nextInt(3) == 0;
            case 11 ->
                    List.copyOf(node.unansweredAttempts.values())
                            .forEach(attempt -> answer(node, attempt));
            case 12 -> {
                if (random.nextInt(10) == 0 && !node.isConnected()) {
                    node.restart();
                }
            }
            default -> connect(node);
        }
        runPendingTasks();
    }

    private void submit() throws InvalidRequestException {
        String owner = "o" + random.nextInt(2) + random.nextInt(2);
        String id = "t" + ++taskCount;
        String taskClass = CLASSES.get(random.nextInt(CLASSES.size()));
        double cores = random.nextInt(12) == 0 ? UNSATISFIABLE_CORES : 1 + random.nextInt(8);
        TaskSpec spec =
                new TaskSpec(
                        id,
                        taskClass,
                        taskClass + random.nextInt(2),
                        "k" + id,
                        cores,
                        cores / 2,
                        (1 + random.nextInt(10)) * SECOND,
                        0);
        Request request = new Request(owner, spec);
        requests.put(request.key(), request);
        core.submit(owner, spec);
    }

    private void connect(RandomizedNode node) {
        if (node.isConnected()) {
            return;
        }
        node.connected(++lastConnection);
        List<HeldAttempt> held =
                node.runningAttempts.values().stream()
                        .map(
                                attempt ->
                                        new HeldAttempt(
                                                attempt.id(),
                                                attempt.owner(),
                                                attempt.spec(),
                                                true))
                        .toList();
        core.registered(
                new NodeRegistration(
                        node.connection(),
                        SiteFixtures.machine(
                                node.name,
                                node.incarnation(),
                                RandomizedNode.CORES,
                                node.freeCores,
                                node.freeMemory()),
                        held,
                        List.of(),
                        List.of(),
                        Map.of()));
    }

    private void disconnect(RandomizedNode node) {
        if (node.isConnected()) {
            long connection = node.connection();
            node.disconnected(nowMicros);
            core.connectionClosed(connection);
        }
    }

    private void endTask(RandomizedNode node) {
        if (!node.runningAttempts.isEmpty() && node.isConnected()) {
            List<OfferedAttempt> running = List.copyOf(node.runningAttempts.values());
            OfferedAttempt attempt = running.get(random.nextInt(running.size()));
            node.finish(nowMicros, attempt);
            report(node, attempt, AttemptStatus.COMPLETED, RejectionReason.NONE);
        }
    }

    private void answer(RandomizedNode node, OfferedAttempt attempt) {
        if (!node.isConnected() || node.unansweredAttempts.remove(attempt.id()) == null) {
            return;
        }
        String key = Request.key(attempt.owner(), attempt.spec().id());
        if (node.draining) {
            reject(node, attempt, RejectionReason.DRAINING);
        } else if (attempt.spec().cores() > node.freeCores) {
            reject(node, attempt, RejectionReason.INSUFFICIENT_CORES);
        } else if (random.nextInt(20) == 0 && attempt.spec().taskClass().equals(KEYED)) {
            requestsRejectedForKey.add(key);
            report(node, attempt, AttemptStatus.REJECTED, RejectionReason.KEY_HELD);
        } else {
            node.start(attempt);
            report(node, attempt, AttemptStatus.RUNNING, RejectionReason.NONE);
        }
    }

    private void reject(RandomizedNode node, OfferedAttempt attempt, RejectionReason reason) {
        node.rejectedAtMicros = nowMicros;
        rejectedRequests.add(Request.key(attempt.owner(), attempt.spec().id()));
        report(node, attempt, AttemptStatus.REJECTED, reason);
    }

    private void report(
            RandomizedNode node,
            OfferedAttempt attempt,
            AttemptStatus status,
            RejectionReason reason) {
        if (!node.isConnected()) {
            return;
        }
        int attemptsBefore = core.attemptsAt(node.name);
        double freeCores = node.freeCores;
        boolean ran = status != AttemptStatus.REJECTED;
        core.attemptReported(
                node.name, new AttemptReport(attempt.id(), status, reason, ran, node.load()));
        // if the count is the same, the attempt had been cancelled, and the load in its report was
        // ignored
        if (core.attemptsAt(node.name) < attemptsBefore) {
            node.reported(nowMicros, freeCores);
        }
    }

    // ---- what the placer sends ----

    private RandomizedNode node(String name) {
        return nodes.stream().filter(node -> node.name.equals(name)).findFirst().orElseThrow();
    }

    @Override
    public boolean offer(String machine, String attemptId, RequestTracker.OfferDetails details) {
        RandomizedNode node = node(machine);
        OfferedAttempt attempt = new OfferedAttempt(attemptId, details.owner(), details.spec());
        node.offered(nowMicros, attempt);
        if (!node.withholdsAnswers) {
            deferredActions.add(() -> answer(node, attempt));
        }
        return node.isConnected();
    }

    @Override
    public void cancelAttempt(String machine, String attemptId) {
        RandomizedNode node = node(machine);
        deferredActions.add(() -> cancel(node, attemptId));
    }

    private void cancel(RandomizedNode node, String attemptId) {
        OfferedAttempt unanswered = node.unansweredAttempts.remove(attemptId);
        node.faultAtMicros = nowMicros;
        OfferedAttempt running = node.runningAttempts.remove(attemptId);
        if (running != null) {
            node.freeCores += running.spec().cores();
        }
        if (unanswered != null || running != null) {
            report(
                    node,
                    unanswered != null ? unanswered : running,
                    AttemptStatus.CANCELLED,
                    RejectionReason.NONE);
        }
    }

    @Override
    public boolean checkHealth(String machine, long number) {
        RandomizedNode node = node(machine);
        deferredActions.add(
                () -> {
                    if (node.isConnected()) {
                        node.reported(nowMicros, node.freeCores);
                        core.healthCheckAnswered(machine, number, node.load());
                    }
                });
        return node.isConnected();
    }

    @Override
    public void notifyDrain(String machine, boolean draining) {
        // the simulation began the drain, so the node has its state already
    }

    @Override
    public void welcome(String machine, long retentionMicros) {
        // the nodes retain no finished attempts
    }

    @Override
    public void notifyResult(ResultNotification notification) {
        if (notification.result() != null) {
            lastResults.put(
                    Request.key(notification.owner(), notification.task()),
                    notification.result().name());
        }
    }

    @Override
    public void closeConnection(long connection, String reason) {
        throw new AssertionError("the connection of a node was closed: " + reason);
    }

    @Override
    public void reasonChanged(PendingReasons.ReasonChanged changed) {
        // the oracle reads the reasons on demand
    }
}
