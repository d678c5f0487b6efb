package thornferry.decisions.placement;

import java.util.ArrayDeque;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.TopologyScope;

/**
 * One machine as this placer knows it: its list entry, load, health, slow start and the size of the
 * last task that it rejected for lack of capacity.
 */
final class TrackedMachine {
    /** The kind of a machine that no entry has named or whose kind the settings do not have. */
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

    /** The last list entry, null while only an adopted task names the machine. */
    MachineEntry entry() {
        return entry;
    }

    /** Takes a new list entry; returns whether it shows that the machine has restarted. */
    boolean updateEntry(MachineEntry newEntry, long nowMicros) {
        boolean restarted = entry != null && newEntry.startedAtMicros() > entry.startedAtMicros();
        entry = newEntry;
        ready = newEntry.state() == MachineState.READY;
        goneSinceMicros = newEntry.state() == MachineState.GONE ? nowMicros : Long.MAX_VALUE;
        return restarted;
    }

    /** The machine is missing from a full list. */
    void markAbsent(long nowMicros) {
        ready = false;
        goneSinceMicros = Math.min(goneSinceMicros, nowMicros);
    }

    boolean isReady() {
        return ready;
    }

    /**
     * Since when the machine is gone; 0 while only an adopted task names it, and {@code
     * Long.MAX_VALUE} while it is listed.
     */
    long goneSinceMicros() {
        return goneSinceMicros;
    }

    /** The index of the machine's kind in the settings. */
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

    /** The times of the last offers, as far back as {@link SlowStartLimiter} counts them. */
    ArrayDeque<Long> recentOfferMicros() {
        return recentOfferMicros;
    }

    /** The machine rejected a task for lack of one resource. */
    void recordCapacityRejection(long nowMicros, Resource lacking, ResourceVector requested) {
        rejectedAtMicros = nowMicros;
        rejectedSize.set(Double.MAX_VALUE, Double.MAX_VALUE);
        rejectedSize.set(lacking, requested.get(lacking));
    }

    /** An own task has ended: what was rejected before may fit by what it leaves free. */
    void raiseRejectedSize(ResourceVector freed) {
        rejectedSize.add(freed.cores(), freed.memory());
    }

    /** Whether the machine rejected a task no larger than this since its latest load sample. */
    boolean recentlyRejected(ResourceVector requested) {
        boolean asLarge =
                requested.cores() >= rejectedSize.cores()
                        || requested.memory() >= rejectedSize.memory();
        return rejectedAtMicros >= load.uncoveredSinceMicros() && asLarge;
    }

    boolean isHealthCheckInFlight() {
        return healthCheckInFlight;
    }

    void setHealthCheckInFlight(boolean inFlight) {
        healthCheckInFlight = inFlight;
    }

    /** The machine's place in the ranking for the task being placed; lower is better. */
    double rank() {
        return rank;
    }

    void setRank(double newRank) {
        rank = newRank;
    }

    /** Whether both machines are in the same cell, zone or whatever the scope says. */
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
