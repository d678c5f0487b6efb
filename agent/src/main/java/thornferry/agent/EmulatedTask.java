package thornferry.agent;

import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Held;
import thornferry.protocol.v1.Offer;
import thornferry.protocol.v1.Task;

/** An attempt on an emulated node, from its offer to its end. */
final class EmulatedTask {
    /** The states of an attempt, in the order in which it passes through them. */
    enum State {
        /** The offer waits in the offer queue; no resources are reserved. */
        OFFERED,
        /** The offer was accepted and resources are reserved; the task waits for a start slot. */
        ACCEPTED,
        /** The task is starting and occupies a start slot. */
        STARTING,
        /** The task runs until its deadline. */
        RUNNING
    }

    private final Offer offer;
    private final boolean mutedWhenOffered;
    private State state = State.OFFERED;
    private boolean cancelled;
    private long deadlineMicros;
    private double coresUsed;
    private double memoryUsed;

    EmulatedTask(Offer offer, boolean muted) {
        this.offer = offer;
        this.mutedWhenOffered = muted;
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

    /** Returns true if the start has begun, so that the attempt may have had effects. */
    boolean hasStarted() {
        return state == State.STARTING || state == State.RUNNING;
    }

    /** Returns when the start or the run completes; valid only if {@link #hasStarted()}. */
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

    /** Starts the run, which uses the given fraction of the requested resources. */
    void run(double usageFraction, long endsAtMicros) {
        state = State.RUNNING;
        coresUsed = task().getCores() * usageFraction;
        memoryUsed = task().getMemory() * usageFraction;
        deadlineMicros = endsAtMicros;
    }

    /** Marks the attempt as cancelled, so that its end is reported even if its class is muted. */
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
                mutedWhenOffered && !cancelled);
    }

    /** Returns the entry of this attempt in the inventory of a registration. */
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
