package thornferry.agent;

import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Held;
import thornferry.protocol.v1.Offer;
import thornferry.protocol.v1.Task;

/** One attempt on an emulated node, from its offer to its end. */
final class EmulatedTask {
    /** Stages of an attempt, in their order. */
    enum State {
        /** In the offer queue; no resources are reserved. */
        OFFERED,
        /** Accepted with its resources reserved; waits for a start slot. */
        ACCEPTED,
        /** Occupies a start slot. */
        STARTING,
        /** Runs until its deadline. */
        RUNNING
    }

    private final Offer offer;
    private final boolean silentWhenOffered;
    private State state = State.OFFERED;
    private boolean cancelled;
    private long deadlineMicros;
    private double coresUsed;
    private double memoryUsed;

    EmulatedTask(Offer offer, boolean silent) {
        this.offer = offer;
        this.silentWhenOffered = silent;
    }

    String attempt() {
        return offer.getAttempt();
    }

    String placer() {
        return offer.getPlacer();
    }

    Task task() {
        return offer.getTask();
    }

    State state() {
        return state;
    }

    boolean isRunning() {
        return state == State.RUNNING;
    }

    /** True if the start has begun, so the attempt may have had effects. */
    boolean hasStarted() {
        return state == State.STARTING || state == State.RUNNING;
    }

    /** When the start or the run completes; valid once {@link #hasStarted()}. */
    long deadlineMicros() {
        return deadlineMicros;
    }

    double memoryUsed() {
        return memoryUsed;
    }

    void accept() {
        state = State.ACCEPTED;
    }

    void start(long runningAtMicros) {
        state = State.STARTING;
        deadlineMicros = runningAtMicros;
    }

    /** Starts the run with the given part of the requested resources in use. */
    void run(double usageFraction, long endsAtMicros) {
        state = State.RUNNING;
        coresUsed = task().getCores() * usageFraction;
        memoryUsed = task().getMemory() * usageFraction;
        deadlineMicros = endsAtMicros;
    }

    /** Marks a cancellation, which is reported even if the class of the task is muted. */
    void cancel() {
        cancelled = true;
    }

    AttemptReport report(Answer.Kind kind, Answer.Reason reason, boolean ran) {
        return new AttemptReport(
                placer(),
                attempt(),
                kind,
                reason,
                ran,
                coresUsed,
                memoryUsed,
                offer,
                silentWhenOffered && !cancelled);
    }

    /** The entry of this attempt in the inventory of a registration. */
    Held inventoryEntry() {
        return Held.newBuilder()
                .setAttempt(attempt())
                .setTask(task())
                .setOwner(offer.getOwner())
                .setRuns(isRunning())
                .setPlacer(placer())
                .build();
    }
}
