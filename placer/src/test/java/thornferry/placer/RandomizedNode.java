package thornferry.placer;

import static thornferry.placer.SiteFixtures.SECOND;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.requests.TaskSpec;

/** The true state of a node in a {@link PendingReasonsSimulation}. */
final class RandomizedNode {
    static final double CORES = 16;

    private static final long NO_CONNECTION = -1;
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** The maximum age of a report at its arrival; the report may not include offers made since. */
    private static final double MAX_REPORT_AGE_MICROS = 1.1 * SECOND;

    /** The time for which a task counts for the spread of its service after its end. */
    private static final long SPREAD_MEMORY_MICROS = 5 * SECOND;

    private record OfferedCores(long atMicros, double cores) {}

    final String name;
    private long connection = NO_CONNECTION;
    private long incarnation = 1;
    boolean draining;

    /** True once the node has registered with the placer. */
    boolean knownToPlacer;

    /** True while the node leaves offers unanswered. */
    boolean withholdsAnswers;

    double freeCores = CORES;

    /** The offered attempts that the node has not answered, by id. */
    final Map<String, OfferedAttempt> unansweredAttempts = new LinkedHashMap<>();

    /** The running attempts, by id. */
    final Map<String, OfferedAttempt> runningAttempts = new LinkedHashMap<>();

    /** The time of the last rejection of an offer, except for a held key. */
    long rejectedAtMicros = NEVER;

    /** The time of the last report that the policy uses. */
    long reportedAtMicros = NEVER;

    /**
     * The time of the last disconnection or cancellation, after which the policy may eject the
     * node.
     */
    long faultAtMicros = NEVER;

    /**
     * The free cores in the last report that the policy uses, which is one of an end, a rejection
     * or a health check.
     */
    private double reportedFreeCores;

    /** The offers since shortly before the last report. */
    private final Deque<OfferedCores> offeredCores = new ArrayDeque<>();

    /** The time at which a task of a service was last offered or ended, by service. */
    private final Map<String, Long> servicesSeenAtMicros = new HashMap<>();

    RandomizedNode(String name) {
        this.name = name;
    }

    // ---- connection ----

    boolean isConnected() {
        return connection != NO_CONNECTION;
    }

    long connection() {
        return connection;
    }

    long incarnation() {
        return incarnation;
    }

    boolean isReady() {
        return isConnected() && !draining;
    }

    void connected(long newConnection) {
        connection = newConnection;
        reportedFreeCores = knownToPlacer ? Math.min(freeCores, reportedFreeCores) : freeCores;
        knownToPlacer = true;
        unansweredAttempts.clear(); // offers in transit on the earlier connection are lost
    }

    void disconnected(long nowMicros) {
        connection = NO_CONNECTION;
        faultAtMicros = nowMicros;
    }

    void restart() {
        incarnation++;
        runningAttempts.clear();
        freeCores = CORES;
    }

    // ---- attempts ----

    void offered(long nowMicros, OfferedAttempt attempt) {
        unansweredAttempts.put(attempt.id(), attempt);
        offeredCores.add(new OfferedCores(nowMicros, attempt.spec().cores()));
        servicesSeenAtMicros.put(attempt.spec().service(), nowMicros);
    }

    void start(OfferedAttempt attempt) {
        freeCores -= attempt.spec().cores();
        runningAttempts.put(attempt.id(), attempt);
    }

    void finish(long nowMicros, OfferedAttempt attempt) {
        runningAttempts.remove(attempt.id());
        servicesSeenAtMicros.put(attempt.spec().service(), nowMicros);
        freeCores += attempt.spec().cores();
    }

    boolean hasUnansweredAttempt(String owner, TaskSpec spec) {
        return unansweredAttempts.values().stream()
                .anyMatch(
                        attempt ->
                                attempt.owner().equals(owner)
                                        && attempt.spec().id().equals(spec.id()));
    }

    /** Returns whether the placer may count a task of the service on this node. */
    boolean hasService(String service, long nowMicros) {
        return runningAttempts.values().stream()
                        .anyMatch(attempt -> attempt.spec().service().equals(service))
                || servicesSeenAtMicros.getOrDefault(service, 0L)
                        > nowMicros - SPREAD_MEMORY_MICROS;
    }

    // ---- reports ----

    LoadReport load() {
        return new LoadReport(freeCores, freeMemory(), LoadReport.UNKNOWN, 0);
    }

    /**
     * Returns the free memory. Tasks use half as much memory as cores, so that memory, whose
     * reports the policy smooths, is never the scarce resource.
     */
    double freeMemory() {
        return CORES - (CORES - freeCores) / 2;
    }

    /** Records that the policy has received a report of these free cores. */
    void reported(long nowMicros, double reportedCores) {
        reportedFreeCores = reportedCores;
        reportedAtMicros = nowMicros;
        offeredCores.removeIf(offer -> offer.atMicros() < nowMicros - MAX_REPORT_AGE_MICROS);
    }

    /** Returns a lower bound of the free cores that the placer assumes. */
    double minAssumedFreeCores() {
        return reportedFreeCores - offeredCores.stream().mapToDouble(OfferedCores::cores).sum();
    }

    /** Returns whether the node rejected an offer after its last report, or shortly before it. */
    boolean rejectedRecently() {
        return rejectedAtMicros >= reportedAtMicros - MAX_REPORT_AGE_MICROS;
    }

    @Override
    public String toString() {
        return name
                + " connection "
                + connection
                + " draining "
                + draining
                + " rejected at "
                + rejectedAtMicros
                + " fault at "
                + faultAtMicros;
    }
}
