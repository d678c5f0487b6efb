package thornferry.decisions.placement;

import java.util.HashMap;
import java.util.Map;
import thornferry.decisions.placement.Placement.FilterReason;

/**
 * The health state of one machine, which {@link OutlierEjection} maintains: whether the machine may
 * get offers.
 *
 * <p>The machine as a whole is excluded for one cause at a time. Ejections for single task classes
 * are independent of that.
 */
final class MachineHealth {
    /**
     * The duration of the first ejection of a machine. It doubles with each further ejection, up to
     * the maximum.
     */
    static final long MIN_EJECTION_MICROS = 1 * Micros.SECOND;

    static final long MAX_EJECTION_MICROS = 8 * Micros.SECOND;

    /**
     * The duration of the first ejection for one task class. It doubles likewise, up to the
     * maximum. No health check can end it early.
     */
    static final long MIN_CLASS_EJECTION_MICROS = 2 * Micros.SECOND;

    static final long MAX_CLASS_EJECTION_MICROS = 16 * Micros.SECOND;

    /** How long a machine gets no offer after it rejected one because its queue was full. */
    private static final long QUEUE_FULL_EXCLUSION_MICROS = 200 * Micros.MILLISECOND;

    /**
     * How long a machine that evacuates its tasks gets no offer, unless it restarts. The delay of
     * the endpoint list is shorter than this.
     */
    private static final long SHUTDOWN_EXCLUSION_MICROS = 5 * Micros.SECOND;

    /** The factor by which each accepted attempt multiplies the error rate. */
    private static final double ERROR_RATE_DECAY = 0.7;

    private static final long LONG_AGO_MICROS = Long.MIN_VALUE / 2;

    private enum Exclusion {
        /** The exclusion ends after a time. */
        TIMED,
        /** The exclusion ends after a time; the machine's queue was full. */
        QUEUE_FULL,
        /** The exclusion ends with a successful health check or an accepted attempt. */
        UNTIL_HEALTHY
    }

    /** The ejection of a machine for one task class. Its duration doubles with each repetition. */
    private record ClassEjection(long untilMicros, long durationMicros) {}

    private final Map<String, ClassEjection> classEjections = new HashMap<>();
    private Exclusion exclusion = Exclusion.TIMED;
    private long excludedUntilMicros;
    private long ejectionMicros;
    private boolean unreachable;
    private long lastResponseMicros = LONG_AGO_MICROS;
    private double errorRate;

    /** Returns whether the machine is ejected until a health check succeeds. */
    boolean isEjected() {
        return exclusion == Exclusion.UNTIL_HEALTHY;
    }

    /** Returns whether the machine is ejected and its next health check is due. */
    boolean isHealthCheckDue(long nowMicros) {
        return isEjected() && nowMicros >= excludedUntilMicros;
    }

    /** Returns the reason for an exclusion that ends after a time, or null if there is none. */
    FilterReason timedExclusion(long nowMicros) {
        if (isEjected() || nowMicros >= excludedUntilMicros) {
            return null;
        }
        return exclusion == Exclusion.QUEUE_FULL
                ? FilterReason.QUEUE_FULL
                : FilterReason.MACHINE_EJECTED;
    }

    boolean isEjectedForClass(String taskClass, long nowMicros) {
        ClassEjection ejection = classEjections.get(taskClass);
        return ejection != null && nowMicros < ejection.untilMicros();
    }

    /**
     * Ejects the machine for twice as long as the last time.
     *
     * @param healthChecks whether health checks are available; without them the ejection ends after
     *     a time
     * @return false if the machine is ejected already
     */
    boolean eject(long nowMicros, boolean healthChecks) {
        if (isEjected() && nowMicros < excludedUntilMicros) {
            return false;
        }
        ejectionMicros =
                Math.min(MAX_EJECTION_MICROS, Math.max(MIN_EJECTION_MICROS, ejectionMicros * 2));
        exclusion = healthChecks ? Exclusion.UNTIL_HEALTHY : Exclusion.TIMED;
        excludedUntilMicros = nowMicros + ejectionMicros;
        return true;
    }

    /**
     * Ejects the machine for one task class, for twice as long as the last time if that was recent.
     */
    void ejectForClass(String taskClass, long nowMicros) {
        ClassEjection last = classEjections.get(taskClass);
        long durationMicros =
                last == null || nowMicros > last.untilMicros() + MAX_CLASS_EJECTION_MICROS
                        ? MIN_CLASS_EJECTION_MICROS
                        : Math.min(MAX_CLASS_EJECTION_MICROS, last.durationMicros() * 2);
        classEjections.put(
                taskClass, new ClassEjection(nowMicros + durationMicros, durationMicros));
    }

    void excludeForFullQueue(long nowMicros) {
        excludedUntilMicros = nowMicros + QUEUE_FULL_EXCLUSION_MICROS;
        exclusion = Exclusion.QUEUE_FULL;
    }

    /**
     * Excludes a machine that appears to be shutting down before the endpoint list shows it.
     * Without the exclusion it would get more offers, since a machine that has evacuated its tasks
     * looks the least loaded. A machine that evacuates tasks for another reason is excluded for the
     * same time.
     */
    void excludeAsShuttingDown(long nowMicros) {
        if (exclusion == Exclusion.QUEUE_FULL) {
            exclusion = Exclusion.TIMED;
        }
        excludedUntilMicros = Math.max(excludedUntilMicros, nowMicros + SHUTDOWN_EXCLUSION_MICROS);
    }

    /** Extends an ejection after a failed health check. */
    void extendEjection(long untilMicros) {
        excludedUntilMicros = untilMicros;
    }

    /**
     * Records that the machine has responded. This ends an ejection, but not an exclusion that ends
     * after a time.
     */
    void markHealthy(long nowMicros) {
        if (isEjected()) {
            excludedUntilMicros = 0;
            exclusion = Exclusion.TIMED;
        }
        unreachable = false;
        ejectionMicros = 0;
        lastResponseMicros = nowMicros;
    }

    /**
     * Clears the state of a machine that has restarted, since observations of its last incarnation
     * do not apply.
     */
    void reset() {
        exclusion = Exclusion.TIMED;
        unreachable = false;
        ejectionMicros = 0;
        excludedUntilMicros = 0;
        classEjections.clear();
        errorRate = 0;
    }

    void markUnreachable() {
        unreachable = true;
    }

    /**
     * Returns whether the machine was unreachable since its last response and so may have
     * restarted.
     */
    boolean isUnreachable() {
        return unreachable;
    }

    void recordResponse(long nowMicros) {
        lastResponseMicros = nowMicros;
    }

    long lastResponseMicros() {
        return lastResponseMicros;
    }

    /**
     * Returns the smoothed fraction of recent attempts that ended in an error on this machine and
     * were accepted by another one.
     */
    double errorRate() {
        return errorRate;
    }

    void recordSuccess() {
        errorRate *= ERROR_RATE_DECAY;
    }

    void recordError() {
        errorRate = ERROR_RATE_DECAY * errorRate + 1 - ERROR_RATE_DECAY;
    }
}
