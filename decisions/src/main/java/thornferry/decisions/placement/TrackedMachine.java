package thornferry.decisions.placement;

import java.util.ArrayDeque;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.TopologyScope;

/**
 * The state of one machine as known to this placer: its list entry, load, health, slow start and
 * the size of the last task that it rejected for lack of capacity.
 */
final class TrackedMachine {
    /** The kind of a machine that is not listed yet or whose kind the settings do not contain. */
    private static final int UNKNOWN_KIND = -1;

    private final String id;
    private final MachineLoad load = new MachineLoad();
    private final MachineHealth health = new MachineHealth();
    private final ArrayDeque<Long> recentOfferMicros = new ArrayDeque<>();
    private final ResourceVector rejectedSize =
            new ResourceVector(Double.MAX_VALUE, Double.MAX_VALUE);
    private MachineEntry entry;
    private int kind = UNKNOWN_KIND;
    private boolean ready;
    private long goneSinceMicros;
    private long slowStartUntilMicros = Long.MIN_VALUE;
    private long rejectedAtMicros = Long.MIN_VALUE;
    private boolean healthCheckInFlight;
    private double rank;

    TrackedMachine(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    MachineLoad load() {
        return load;
    }

    MachineHealth health() {
        return health;
    }

    /**
     * Returns the last list entry, or null while the machine is known from an adopted task only.
     */
    MachineEntry entry() {
        return entry;
    }

    /** Stores a new list entry. Returns whether it shows that the machine has restarted. */
    boolean updateEntry(MachineEntry newEntry, long nowMicros) {
        boolean restarted = entry != null && newEntry.startedAtMicros() > entry.startedAtMicros();
        entry = newEntry;
        ready = newEntry.state() == MachineState.READY;
        goneSinceMicros = newEntry.state() == MachineState.GONE ? nowMicros : Long.MAX_VALUE;
        return restarted;
    }

    /** Records that the machine is missing from a full list. */
    void markAbsent(long nowMicros) {
        ready = false;
        goneSinceMicros = Math.min(goneSinceMicros, nowMicros);
    }

    boolean isReady() {
        return ready;
    }

    /**
     * Returns the time since when the machine is gone: 0 while it is known from an adopted task
     * only, {@code Long.MAX_VALUE} while it is listed.
     */
    long goneSinceMicros() {
        return goneSinceMicros;
    }

    /** Returns the index of the machine's kind in the settings, -1 if the kind is unknown. */
    int kind() {
        return kind;
    }

    void setKind(int newKind, double cores, double memory) {
        kind = newKind;
        load.setSize(cores, memory);
    }

    void extendSlowStart(long untilMicros) {
        slowStartUntilMicros = Math.max(slowStartUntilMicros, untilMicros);
    }

    long slowStartUntilMicros() {
        return slowStartUntilMicros;
    }

    /** Returns the times of the last offers, which {@link SlowStartLimiter} counts and removes. */
    ArrayDeque<Long> recentOfferMicros() {
        return recentOfferMicros;
    }

    /** Records that the machine rejected a task for lack of one resource. */
    void recordCapacityRejection(long nowMicros, Resource lacking, ResourceVector requested) {
        rejectedAtMicros = nowMicros;
        rejectedSize.set(Double.MAX_VALUE, Double.MAX_VALUE);
        rejectedSize.set(lacking, requested.get(lacking));
    }

    /**
     * Raises the rejected size by the resources that an ended own task has freed, since a task of
     * the rejected size may fit now.
     */
    void raiseRejectedSize(ResourceVector freed) {
        rejectedSize.add(freed.cores(), freed.memory());
    }

    /**
     * Returns whether the machine has rejected a task of at most this size since the state that its
     * latest load sample shows.
     */
    boolean hasRecentlyRejected(ResourceVector requested) {
        boolean isAtLeastAsLarge =
                requested.cores() >= rejectedSize.cores()
                        || requested.memory() >= rejectedSize.memory();
        return rejectedAtMicros >= load.latestSampleMicros() && isAtLeastAsLarge;
    }

    boolean isHealthCheckInFlight() {
        return healthCheckInFlight;
    }

    void setHealthCheckInFlight(boolean inFlight) {
        healthCheckInFlight = inFlight;
    }

    /** Returns the machine's rank for the task that is being placed; lower is better. */
    double rank() {
        return rank;
    }

    void setRank(double newRank) {
        rank = newRank;
    }

    /** Returns whether both machines are in the same cell, zone or other scope. */
    boolean sharesScope(TopologyScope scope, TrackedMachine other) {
        return switch (scope) {
            case ALL -> true;
            case ZONE ->
                    entry != null && other.entry != null && entry.zone().equals(other.entry.zone());
            case CELL -> entry != null && other.entry != null && entry.cell() == other.entry.cell();
            default -> this == other;
        };
    }
}
