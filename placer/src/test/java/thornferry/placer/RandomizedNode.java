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

    /** A report may have been sent before offers this much older than its arrival. */
    private static final double MAX_REPORT_AGE_MICROS = 1.1 * SECOND;

    /** How long a task counts for the spread of its service after its end. */
    private static final long SPREAD_MEMORY_MICROS = 5 * SECOND;

    private record OfferedCores(long atMicros, double cores) {}

    final String name;
    private long connection = NO_CONNECTION;
    private long incarnation = 1;
    boolean draining;

    /** Whether the placer has ever seen the node. */
    boolean known;

    /** Whether offers are left unanswered for the time being. */
    boolean answersLate;

    double freeCores = CORES;

    /** Offered attempts without an answer, by id. */
    final Map<String, OfferedAttempt> openAttempts = new LinkedHashMap<>();

    final Map<String, OfferedAttempt> runningAttempts = new LinkedHashMap<>();
    long rejectedAtMicros = NEVER;
    long reportedAtMicros = NEVER;
    long faultAtMicros = NEVER;

    /** The free cores in the last report that the policy uses: at an end, rejection or check. */
    private double reportedFreeCores;

    /** What was offered since shortly before the last report. */
    private final Deque<OfferedCores> offeredCores = new ArrayDeque<>();

    /** When a task of a service was last offered or ended. */
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
        reportedFreeCores = known ? Math.min(freeCores, reportedFreeCores) : freeCores;
        known = true;
        openAttempts.clear(); // offers in transit never arrived
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
        openAttempts.put(attempt.id(), attempt);
        offeredCores.add(new OfferedCores(nowMicros, attempt.spec().cores()));
        servicesSeenAtMicros.put(attempt.spec().service(), nowMicros);
    }

    void start(OfferedAttempt attempt) {
        freeCores -= attempt.spec().cores();
        runningAttempts.put(attempt.id(), attempt);
    }

    void end(long nowMicros, OfferedAttempt attempt) {
        runningAttempts.remove(attempt.id());
        servicesSeenAtMicros.put(attempt.spec().service(), nowMicros);
        freeCores += attempt.spec().cores();
    }

    boolean hasOpenAttempt(String owner, TaskSpec spec) {
        return openAttempts.values().stream()
                .anyMatch(
                        attempt ->
                                attempt.owner().equals(owner)
                                        && attempt.spec().id().equals(spec.id()));
    }

    /** Whether the placer may count a task of the service on this node. */
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
     * Tasks use half as much memory as cores, so that memory, whose reports the policy smooths, is
     * never what is lacking.
     */
    double freeMemory() {
        return CORES - (CORES - freeCores) / 2;
    }

    /** The policy has received a report of these free cores. */
    void reported(long nowMicros, double reportedCores) {
        reportedFreeCores = reportedCores;
        reportedAtMicros = nowMicros;
        offeredCores.removeIf(offer -> offer.atMicros() < nowMicros - MAX_REPORT_AGE_MICROS);
    }

    /** A lower bound of the free cores that the placer assumes. */
    double minAssumedFreeCores() {
        return reportedFreeCores - offeredCores.stream().mapToDouble(OfferedCores::cores).sum();
    }

    /** Whether the node rejected an offer after its last report, or not long before it. */
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
