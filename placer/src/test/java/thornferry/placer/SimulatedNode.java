package thornferry.placer;

import static thornferry.placer.SiteFixtures.MILLISECOND;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.recovery.MachineInventory;
import thornferry.decisions.recovery.RetainedAttempt;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.TaskSpec;

/** A node that accepts and runs tasks, loses reports, forgets attempts and can be killed. */
final class SimulatedNode {
    /** The cores of the node, and also its memory. */
    static final double SIZE = 16;

    private static final long MAX_DECISION_MICROS = 30 * MILLISECOND;
    private static final long MIN_START_MICROS = 5 * MILLISECOND;
    private static final long MAX_START_MICROS = 60 * MILLISECOND;
    private static final long MIN_RUN_MICROS = 30 * MILLISECOND;
    private static final long MAX_RUN_MICROS = 1_500 * MILLISECOND;
    private static final long MIN_RESTART_MICROS = 50 * MILLISECOND;
    private static final long MAX_RESTART_MICROS = 3_000 * MILLISECOND;
    private static final int REPORTS_PER_LOST_REPORT = 20;
    private static final int OFFERS_PER_REJECTION = 10;
    private static final int RUNS_PER_EVICTION = 8;
    private static final int ENDS_PER_FORGOTTEN_ATTEMPT = 30;

    private record Attempt(String id, String owner, TaskSpec spec, Idempotency idempotency) {}

    private final String name;
    private final VirtualTime time;
    private final SimulatedPlacer placer;
    private final SimulatedNetwork network;
    private final SafetyMonitor monitor;
    private final InjectedFault fault;

    /**
     * True if the node may forget an attempt early, which is allowed only if the placer has a
     * journal.
     */
    private final boolean mayForget;

    private long incarnation = 1;
    private boolean up = true;
    private SimulatedConnection connection; // null while not connected
    private final Map<String, Attempt> heldAttempts = new LinkedHashMap<>();
    private final Set<String> runningAttempts = new HashSet<>();

    /** The time at which a finished attempt ended, by attempt. */
    private final Map<RetainedAttempt, Long> retainedAttempts = new LinkedHashMap<>();

    /** The end of the last attempt that the node forgot. */
    private long completeSinceMicros = MachineInventory.WHOLE_INCARNATION;

    SimulatedNode(
            String name,
            VirtualTime time,
            SimulatedPlacer placer,
            SimulatedNetwork network,
            SafetyMonitor monitor,
            InjectedFault fault,
            boolean mayForget) {
        this.name = name;
        this.time = time;
        this.placer = placer;
        this.network = network;
        this.monitor = monitor;
        this.fault = fault;
        this.mayForget = mayForget;
    }

    String name() {
        return name;
    }

    // ---- connection ----

    boolean isConnectedVia(SimulatedConnection other) {
        return connection == other;
    }

    /** Returns the connection, if the node has one that is not broken. */
    Optional<SimulatedConnection> openConnection() {
        return Optional.ofNullable(connection).filter(current -> current.open);
    }

    void disconnected() {
        connection = null;
    }

    /** Breaks the connection, if the node has one. */
    void breakConnection(boolean placerDetects) {
        if (connection != null) {
            network.breakConnection(this, connection, placerDetects);
        }
    }

    /** Connects to the placer and registers, unless the node or the placer is down. */
    void connect() {
        if (!placer.isUp() || !up || connection != null) {
            return;
        }
        connection = network.open();
        NodeRegistration registration = registration();
        network.sendToPlacer(connection, () -> placer.core().registered(registration));
    }

    private NodeRegistration registration() {
        List<HeldAttempt> held =
                heldAttempts.values().stream()
                        .map(
                                attempt ->
                                        new HeldAttempt(
                                                attempt.id(),
                                                attempt.owner(),
                                                attempt.spec(),
                                                runningAttempts.contains(attempt.id())))
                        .toList();
        List<RetainedAttempt> retained =
                fault == InjectedFault.NODES_HAVE_NO_HISTORY
                        ? List.of()
                        : List.copyOf(retainedAttempts.keySet());
        List<AttemptReport> recentReports =
                retained.stream()
                        .map(attempt -> report(attempt.attempt(), attempt.status(), attempt.ran()))
                        .toList();
        return new NodeRegistration(
                connection.number,
                SiteFixtures.idleMachine(name, incarnation, SIZE),
                held,
                recentReports,
                retained,
                completeSince());
    }

    private Map<Idempotency, Long> completeSince() {
        if (fault == InjectedFault.NODES_HAVE_NO_HISTORY) {
            return Map.of();
        }
        long since =
                fault == InjectedFault.NODES_CLAIM_COMPLETE_HISTORY
                        ? MachineInventory.WHOLE_INCARNATION
                        : completeSinceMicros;
        return Map.of(Idempotency.NON_IDEMPOTENT, since, Idempotency.IDEMPOTENT_WITH_KEY, since);
    }

    // ---- attempts ----

    /** Processes an offer that arrives. */
    void offered(String attemptId, RequestTracker.OfferDetails details) {
        Attempt attempt =
                new Attempt(attemptId, details.owner(), details.spec(), details.idempotency());
        if (heldAttempts.putIfAbsent(attemptId, attempt) == null) {
            whileHeld(attempt, time.randomBetween(0, MAX_DECISION_MICROS), () -> decide(attempt));
        }
    }

    private void decide(Attempt attempt) {
        if (time.oneIn(OFFERS_PER_REJECTION)) {
            end(attempt, AttemptStatus.REJECTED, false);
            return;
        }
        send(attempt.id(), AttemptStatus.ACCEPTED, false);
        long delayMicros = time.randomBetween(MIN_START_MICROS, MAX_START_MICROS);
        whileHeld(attempt, delayMicros, () -> start(attempt));
    }

    private void start(Attempt attempt) {
        runningAttempts.add(attempt.id());
        if (attempt.idempotency() == Idempotency.NON_IDEMPOTENT) {
            monitor.nonIdempotentTaskStarted(attempt.spec().id(), attempt.id());
        }
        send(attempt.id(), AttemptStatus.RUNNING, true);
        long runMicros = time.randomBetween(MIN_RUN_MICROS, MAX_RUN_MICROS);
        whileHeld(
                attempt,
                runMicros,
                () -> {
                    boolean evicted = time.oneIn(RUNS_PER_EVICTION);
                    end(attempt, evicted ? AttemptStatus.EVICTED : AttemptStatus.COMPLETED, true);
                });
    }

    /** Processes a cancellation that arrives. */
    void cancelled(String attemptId) {
        Attempt attempt = heldAttempts.get(attemptId);
        if (attempt != null) {
            end(attempt, AttemptStatus.CANCELLED, runningAttempts.contains(attemptId));
        } else {
            send(attemptId, AttemptStatus.CANCELLED, true);
        }
    }

    /** Answers a health check that arrives. */
    void checkHealth(SimulatedConnection from, long number) {
        LoadReport load = new LoadReport(SIZE, SIZE, LoadReport.UNKNOWN, 0);
        network.sendToPlacer(from, () -> placer.core().healthCheckAnswered(name, number, load));
    }

    private void end(Attempt attempt, AttemptStatus status, boolean ran) {
        heldAttempts.remove(attempt.id());
        runningAttempts.remove(attempt.id());
        if (status != AttemptStatus.REJECTED && attempt.idempotency() != Idempotency.IDEMPOTENT) {
            retain(attempt, status, ran);
        }
        send(attempt.id(), status, ran);
    }

    private void retain(Attempt attempt, AttemptStatus status, boolean ran) {
        retainedAttempts.put(
                new RetainedAttempt(
                        attempt.id(),
                        attempt.owner(),
                        attempt.spec(),
                        attempt.idempotency(),
                        status,
                        ran,
                        time.now()),
                time.now());
        if (mayForget && time.oneIn(ENDS_PER_FORGOTTEN_ATTEMPT)) {
            RetainedAttempt oldest = retainedAttempts.keySet().iterator().next();
            completeSinceMicros = retainedAttempts.remove(oldest);
        }
    }

    private void send(String attemptId, AttemptStatus status, boolean ran) {
        boolean isFinal = status != AttemptStatus.ACCEPTED && status != AttemptStatus.RUNNING;
        boolean lost = !isFinal && time.oneIn(REPORTS_PER_LOST_REPORT);
        if (connection == null || !connection.open || lost) {
            return;
        }
        SimulatedConnection sentOn = connection;
        network.sendToPlacer(
                sentOn,
                () -> {
                    PlacerCore core = placer.core();
                    if (name.equals(core.membership().machineOf(sentOn.number))) {
                        core.attemptReported(name, report(attemptId, status, ran));
                    }
                });
    }

    private static AttemptReport report(String attemptId, AttemptStatus status, boolean ran) {
        return new AttemptReport(attemptId, status, RejectionReason.NONE, ran, null);
    }

    // ---- restarts ----

    /** Kills the node, which loses all of its state, and restarts it after some time. */
    void kill() {
        if (!up) {
            return;
        }
        up = false;
        incarnation++;
        heldAttempts.clear();
        runningAttempts.clear();
        retainedAttempts.clear();
        completeSinceMicros = MachineInventory.WHOLE_INCARNATION;
        breakConnection(true);
        connection = null;
        time.scheduleIn(
                time.randomBetween(MIN_RESTART_MICROS, MAX_RESTART_MICROS),
                () -> {
                    up = true;
                    connect();
                });
    }

    /** Returns a task that does nothing once the node has been killed. */
    Runnable unlessKilled(Runnable task) {
        long scheduledIn = incarnation;
        return () -> {
            if (incarnation == scheduledIn && up) {
                task.run();
            }
        };
    }

    /** Runs a task after a delay, unless the node no longer holds the attempt by then. */
    private void whileHeld(Attempt attempt, long delayMicros, Runnable task) {
        time.scheduleIn(
                delayMicros,
                unlessKilled(
                        () -> {
                            if (attempt.equals(heldAttempts.get(attempt.id()))) {
                                task.run();
                            }
                        }));
    }
}
