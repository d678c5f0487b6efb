package thornferry.decisions.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.Pending;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.TaskClass;

/** One task from its request until its final answer, or until its last attempt has ended. */
final class TrackedTask {
    /** The use of a resource that was not observed. */
    static final double NOT_OBSERVED = -1;

    /** A final answer is sent this long before the client stops waiting: two ticks. */
    private static final long ANSWER_LEAD_MICROS = 2 * Policy.TICK_MICROS;

    /** An offer must end this long before the client stops waiting, so that an answer is sent. */
    private static final long OFFER_LEAD_MICROS = ANSWER_LEAD_MICROS / 2;

    /** Where a task is in its life. */
    enum Stage {
        /** Waits for a machine; a final answer is owed. */
        WAITING,
        /** An attempt is in flight; a final answer is owed. */
        OFFERED,
        /** An attempt is in flight whose client has disconnected; no answer is owed. */
        ABANDONED,
        /** A machine has accepted the task, which is the final answer. */
        RUNNING,
        /** Answered, or its last attempt has ended. */
        FINISHED
    }

    /** The first attempt after which the task may have run: its machine and when it was sent. */
    record PossibleRun(TrackedMachine machine, long sinceMicros) {}

    /**
     * The machines whose health checks one attempt waits for.
     *
     * @param attempt the number of that attempt, -1 before any has waited
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

    /** What the task requests of each resource. */
    ResourceVector requested() {
        return requested;
    }

    /** What the running task was seen to use, {@link #NOT_OBSERVED} where it was not. */
    ResourceVector observedUse() {
        return observedUse;
    }

    /** An attempt is sent to this machine. */
    void startAttempt(TrackedMachine target, long nowMicros, boolean expectsSetup) {
        stage = Stage.OFFERED;
        machine = target;
        sentAtMicros = nowMicros;
        setupExpected = expectsSetup;
        attempts++;
        lastNotification = null;
    }

    /** The task runs already, as its attempt 0. */
    void adopt(TrackedMachine runningOn) {
        stage = Stage.RUNNING;
        machine = runningOn;
        attempts = 1;
    }

    void accept() {
        stage = Stage.RUNNING;
    }

    /** The attempt in flight has ended; {@code settled} where no answer is owed any more. */
    void endAttempt(boolean settled) {
        stage = settled || stage != Stage.OFFERED ? Stage.FINISHED : Stage.WAITING;
    }

    /** The client has disconnected: no final answer is owed any more. */
    void abandon() {
        if (stage == Stage.WAITING) {
            stage = Stage.FINISHED;
        } else if (stage == Stage.OFFERED) {
            stage = Stage.ABANDONED;
        }
    }

    /** The final answer has been sent. */
    void finish() {
        stage = Stage.FINISHED;
    }

    Stage stage() {
        return stage;
    }

    /** Whether an attempt is in flight or running. */
    boolean hasAttempt() {
        return stage == Stage.OFFERED || stage == Stage.ABANDONED || stage == Stage.RUNNING;
    }

    /** Whether an attempt is in flight and no machine has accepted it. */
    boolean awaitsAcceptance() {
        return stage == Stage.OFFERED || stage == Stage.ABANDONED;
    }

    int attempts() {
        return attempts;
    }

    /** The machine of the latest attempt. */
    TrackedMachine machine() {
        return machine;
    }

    /** When the latest attempt was sent. */
    long sentAtMicros() {
        return sentAtMicros;
    }

    /** Whether the program had to be set up on the machine of the latest attempt. */
    boolean isSetupExpected() {
        return setupExpected;
    }

    /** What the start counts as among the starts that the machine has yet to make, 0 once made. */
    double startWeight() {
        return startWeight;
    }

    void setStartWeight(double weight) {
        startWeight = weight;
    }

    /** The latest attempt may have run; only the first such attempt counts. */
    void recordPossibleRun() {
        if (possibleRun == null) {
            possibleRun = new PossibleRun(machine, sentAtMicros);
        }
    }

    boolean mayHaveRun() {
        return possibleRun != null;
    }

    /** The first attempt that may have run, null if there is none. */
    PossibleRun possibleRun() {
        return possibleRun;
    }

    /** Whether retries must stay where the idempotency key is known. */
    boolean isBoundToKeyScope() {
        return mayHaveRun() && taskClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
    }

    /** Machines that failed an attempt and get no other one. */
    Set<TrackedMachine> failedMachines() {
        return failedMachines;
    }

    /** Machines on which an attempt ended in an error. */
    Set<TrackedMachine> errorMachines() {
        return errorMachines;
    }

    /** Machines on which the service's program is expected, best first. */
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

    /** Records why the task is pending; returns whether that differs from the last time. */
    boolean updateNotification(Pending notification) {
        if (notification.equals(lastNotification)) {
            return false;
        }
        lastNotification = notification;
        return true;
    }

    /** Whether the final answer is due. */
    boolean isAnswerDue(long nowMicros) {
        return nowMicros >= deadlineMicros - ANSWER_LEAD_MICROS;
    }

    /** Whether the client stops waiting before the next tick. */
    boolean endsBeforeNextTick(long nowMicros) {
        return nowMicros >= deadlineMicros - Policy.TICK_MICROS;
    }

    /** How long an offer sent now may take. */
    long offerTimeLeftMicros(long nowMicros) {
        return deadlineMicros - nowMicros - OFFER_LEAD_MICROS;
    }
}
