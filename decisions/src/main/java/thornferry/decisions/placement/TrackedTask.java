package thornferry.decisions.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.Pending;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.TaskClass;

/**
 * The state of one task, from its request until the result of the request or the end of its last
 * attempt.
 */
final class TrackedTask {
    /** The observed use of a resource before any observation. */
    static final double NOT_OBSERVED = -1;

    /** How long before the client stops waiting the result is due: two ticks. */
    private static final long RESULT_LEAD_MICROS = 2 * Policy.TICK_INTERVAL_MICROS;

    /**
     * How long before the client stops waiting an offer must end, so that there is time to send the
     * result.
     */
    private static final long OFFER_LEAD_MICROS = RESULT_LEAD_MICROS / 2;

    /** The stages of a task. */
    enum Stage {
        /** The task waits for a machine; its request has no result yet. */
        WAITING,
        /** An attempt is in flight; the request has no result yet. */
        OFFERED,
        /** An attempt is in flight, but the client has disconnected and needs no result. */
        ABANDONED,
        /** A machine has accepted the task, which is the result of the request. */
        RUNNING,
        /** The request was rejected or failed, or the last attempt has ended. */
        FINISHED
    }

    /** The first attempt that may have run: its machine and the time when it was sent. */
    record PossibleRun(TrackedMachine machine, long sentAtMicros) {}

    /**
     * The machines whose health checks one attempt waits for.
     *
     * @param attempt the number of the attempt, -1 if no attempt has waited for health checks yet
     */
    record HealthCheckRound(int attempt, long untilMicros, List<TrackedMachine> machines) {
        private static final HealthCheckRound NONE = new HealthCheckRound(-1, 0, List.of());
    }

    private final PlacementRequest request;
    private final TaskClass taskClass;
    private final long deadlineMicros;
    private final ResourceVector requested;
    private final ResourceVector observedUse = new ResourceVector(NOT_OBSERVED, NOT_OBSERVED);
    private final Set<TrackedMachine> failedMachines = new HashSet<>();
    private final Set<TrackedMachine> errorMachines = new HashSet<>();
    private Stage stage = Stage.WAITING;
    private int attempts;
    private TrackedMachine machine;
    private long sentAtMicros;
    private double startWeight;
    private boolean setupExpected;
    private PossibleRun possibleRun;
    private List<TrackedMachine> preferredMachines = List.of();
    private HealthCheckRound healthCheckRound = HealthCheckRound.NONE;
    private Pending lastNotification;

    TrackedTask(PlacementRequest request, TaskClass taskClass, long nowMicros) {
        this.request = request;
        this.taskClass = taskClass;
        this.requested = new ResourceVector(request.cores(), request.memory());
        this.deadlineMicros = nowMicros + Math.max(0, request.maxWaitMicros());
    }

    String id() {
        return request.id();
    }

    String service() {
        return request.service();
    }

    TaskClass taskClass() {
        return taskClass;
    }

    /** Returns the amount of each resource that the task requests. */
    ResourceVector requested() {
        return requested;
    }

    /**
     * Returns the observed use of each resource by the running task, {@link #NOT_OBSERVED} before
     * any observation.
     */
    ResourceVector observedUse() {
        return observedUse;
    }

    /** Records that an attempt is sent to this machine. */
    void startAttempt(TrackedMachine target, long nowMicros, boolean expectsSetup) {
        stage = Stage.OFFERED;
        machine = target;
        sentAtMicros = nowMicros;
        setupExpected = expectsSetup;
        attempts++;
        lastNotification = null;
    }

    /** Records that the task is already running, as attempt 0. */
    void adopt(TrackedMachine runningMachine) {
        stage = Stage.RUNNING;
        machine = runningMachine;
        attempts = 1;
    }

    void accept() {
        stage = Stage.RUNNING;
    }

    /**
     * Records the end of the latest attempt.
     *
     * @param settled whether the request has had its result
     */
    void endAttempt(boolean settled) {
        stage = settled || stage != Stage.OFFERED ? Stage.FINISHED : Stage.WAITING;
    }

    /** Records that the client has disconnected, so that no result is sent. */
    void abandon() {
        if (stage == Stage.WAITING) {
            stage = Stage.FINISHED;
        } else if (stage == Stage.OFFERED) {
            stage = Stage.ABANDONED;
        }
    }

    /** Records that the result of the request has been sent. */
    void finish() {
        stage = Stage.FINISHED;
    }

    Stage stage() {
        return stage;
    }

    /** Returns whether an attempt is in flight or running. */
    boolean hasActiveAttempt() {
        return stage == Stage.OFFERED || stage == Stage.ABANDONED || stage == Stage.RUNNING;
    }

    /** Returns whether an attempt is in flight that no machine has accepted yet. */
    boolean awaitsAcceptance() {
        return stage == Stage.OFFERED || stage == Stage.ABANDONED;
    }

    int attempts() {
        return attempts;
    }

    /** Returns the machine of the latest attempt. */
    TrackedMachine machine() {
        return machine;
    }

    /** Returns when the latest attempt was sent. */
    long sentAtMicros() {
        return sentAtMicros;
    }

    /**
     * Returns whether the program was expected to be set up on the machine of the latest attempt.
     */
    boolean isSetupExpected() {
        return setupExpected;
    }

    /**
     * Returns the weight of this task among the pending starts of its machine, 0 once the task has
     * started.
     */
    double startWeight() {
        return startWeight;
    }

    void setStartWeight(double weight) {
        startWeight = weight;
    }

    /** Records that the latest attempt may have run. Only the first such attempt is kept. */
    void recordPossibleRun() {
        if (possibleRun == null) {
            possibleRun = new PossibleRun(machine, sentAtMicros);
        }
    }

    boolean mayHaveRun() {
        return possibleRun != null;
    }

    /** Returns the first attempt that may have run, or null if there is none. */
    PossibleRun possibleRun() {
        return possibleRun;
    }

    /** Returns whether retries are restricted to machines that share the idempotency key. */
    boolean isRestrictedToKeyScope() {
        return mayHaveRun() && taskClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
    }

    /** Returns the machines on which an attempt failed and which get no further one. */
    Set<TrackedMachine> failedMachines() {
        return failedMachines;
    }

    /** Returns the machines on which an attempt ended in an error. */
    Set<TrackedMachine> errorMachines() {
        return errorMachines;
    }

    /** Returns the machines on which the service's program is expected, best first. */
    List<TrackedMachine> preferredMachines() {
        return preferredMachines;
    }

    void setPreferredMachines(List<TrackedMachine> machines) {
        preferredMachines = machines;
    }

    HealthCheckRound healthCheckRound() {
        return healthCheckRound;
    }

    void setHealthCheckRound(HealthCheckRound round) {
        healthCheckRound = round;
    }

    /**
     * Stores the notification of why the task is pending. Returns whether it differs from the last
     * one.
     */
    boolean updateNotification(Pending notification) {
        if (notification.equals(lastNotification)) {
            return false;
        }
        lastNotification = notification;
        return true;
    }

    /** Returns whether the result of the request is due. */
    boolean isResultDue(long nowMicros) {
        return nowMicros >= deadlineMicros - RESULT_LEAD_MICROS;
    }

    /** Returns whether the client stops waiting before the next tick. */
    boolean expiresBeforeNextTick(long nowMicros) {
        return nowMicros >= deadlineMicros - Policy.TICK_INTERVAL_MICROS;
    }

    /** Returns how long an offer that is sent now may take. */
    long offerTimeLeftMicros(long nowMicros) {
        return deadlineMicros - nowMicros - OFFER_LEAD_MICROS;
    }
}
