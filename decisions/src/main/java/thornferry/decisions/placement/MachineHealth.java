package thornferry.decisions.placement;

import java.util.HashMap;
import java.util.Map;
import thornferry.decisions.placement.Placement.FilterReason;

/**
 * Whether one machine may get offers: the state behind {@link OutlierEjection}.
 *
 * <p>An exclusion of the whole machine has one cause at a time; an ejection for one task class is
 * independent of it.
 */
final class MachineHealth {
    /** First duration of the ejection of a machine; it doubles up to the maximum. */
    static final long MIN_EJECTION_MICROS = 1 * Micros.SECOND;

    static final long MAX_EJECTION_MICROS = 8 * Micros.SECOND;

    /** The same for one task class, for which no health check can end the ejection. */
    static final long MIN_CLASS_EJECTION_MICROS = 2 * Micros.SECOND;

    static final long MAX_CLASS_EJECTION_MICROS = 16 * Micros.SECOND;

    /** How long a machine whose queue was full gets no offer. */
    private static final long QUEUE_FULL_MICROS = 200 * Micros.MILLISECOND;

    /**
     * How long a machine that evacuates its tasks gets no offer, unless it restarts: the endpoint
     * list is less late than this.
     */
    private static final long LEAVING_MICROS = 5 * Micros.SECOND;

    /** The part of the error rate that each accepted attempt leaves. */
    private static final double ERROR_RATE_DECAY = 0.7;

    private static final long LONG_AGO_MICROS = Long.MIN_VALUE / 2;

    private enum Exclusion {
        /** Ends with time alone. */
        TIMED,
        /** As TIMED, because the machine's queue was full. */
        QUEUE_FULL,
        /** Ends by a successful health check or an accepted attempt. */
        UNTIL_HEALTHY
    }

    /** The ejection of a machine for one task class; its duration doubles with repetition. */
    private record ClassEjection(long untilMicros, long durationMicros) {}

    private final Map<String, ClassEjection> classEjections = new HashMap<>();
    private Exclusion exclusion = Exclusion.TIMED;
    private long excludedUntilMicros;
    private long ejectionMicros;
    private boolean unreachable;
    private long lastAnswerMicros = LONG_AGO_MICROS;
    private double errorRate;

    /** Whether the machine is ejected until a health check succeeds. */
    boolean isEjected() {
        return exclusion == Exclusion.UNTIL_HEALTHY;
    }

    /** Whether the machine is ejected and its next health check is due. */
    boolean isHealthCheckDue(long nowMicros) {
        return isEjected() && nowMicros >= excludedUntilMicros;
    }

    /** Why the machine gets no offer for now apart from an ejection, null where it may. */
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
     * Ejects the machine, twice as long as the last time.
     *
     * @param healthChecks whether health checks are available; without them time alone ends it
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

    /** Ejects the machine for one task class, twice as long as the last time if that is recent. */
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
        excludedUntilMicros = nowMicros + QUEUE_FULL_MICROS;
        exclusion = Exclusion.QUEUE_FULL;
    }

    /**
     * Excludes a machine that appears to shut down before the list says so: having evacuated its
     * tasks it would look the least loaded. A machine that evacuates tasks for another reason is
     * excluded as long.
     */
    void excludeAsLeaving(long nowMicros) {
        if (exclusion == Exclusion.QUEUE_FULL) {
            exclusion = Exclusion.TIMED;
        }
        excludedUntilMicros = Math.max(excludedUntilMicros, nowMicros + LEAVING_MICROS);
    }

    /** Extends an ejection after a health check that failed. */
    void extendEjection(long untilMicros) {
        excludedUntilMicros = untilMicros;
    }

    /** The machine has answered: ends an ejection, but no exclusion that ends with time. */
    void markHealthy(long nowMicros) {
        if (isEjected()) {
            excludedUntilMicros = 0;
            exclusion = Exclusion.TIMED;
        }
        unreachable = false;
        ejectionMicros = 0;
        lastAnswerMicros = nowMicros;
    }

    /** The machine has restarted: nothing that was seen of it before counts. */
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

    /** Whether the machine was out of reach since it last answered, and so may have restarted. */
    boolean isUnreachable() {
        return unreachable;
    }

    void markAnswered(long nowMicros) {
        lastAnswerMicros = nowMicros;
    }

    long lastAnswerMicros() {
        return lastAnswerMicros;
    }

    /** The smoothed part of recent attempts that ended in errors here and succeeded elsewhere. */
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
