package thornferry.testbed.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Collects the measurements of a period of overload; confined to the clients' event loop. */
final class OverloadMeasurement {
    /** Latency up to which a task counts as placed in time. */
    static final long IN_TIME_MILLIS = 1_000;

    private static final long IN_TIME_MICROS = TimeUnit.MILLISECONDS.toMicros(IN_TIME_MILLIS);
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(5);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double REPORTED_PERCENTILE = 99;
    private static final long MAX_WAIT_MICROS =
            TimeUnit.MILLISECONDS.toMicros(SmallTaskFactory.MAX_WAIT_MILLIS);

    /** A rejection before half of the maximum wait is early. */
    private static final long EARLY_BEFORE_MICROS = MAX_WAIT_MICROS / 2;

    /** A rejection after nine tenths of the maximum wait is late. */
    private static final long LATE_FROM_MICROS = MAX_WAIT_MICROS / 10 * 9;

    private final List<TenantAccount> tenants;
    private final double[] coreSecondsByTenant;
    private final Histogram answerMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private long requested;
    private long placed;
    private long placedInTime;
    private double priorityWeight;
    private long earlyRejections;
    private long lateRejections;
    private long unanswered;

    OverloadMeasurement(List<TenantAccount> tenants) {
        this.tenants = tenants;
        coreSecondsByTenant = new double[tenants.size()];
    }

    /** A task is requested for the first time. */
    void requested() {
        requested++;
    }

    /** A request has got an answer. */
    void answered(long latencyMicros) {
        answerMicros.recordValue(latencyMicros);
    }

    /** A request has got no answer. */
    void unanswered() {
        unanswered++;
    }

    /** The first request for a task has led to its placement. */
    void placedAtFirstAttempt(long latencyMicros) {
        if (latencyMicros <= IN_TIME_MICROS) {
            placedInTime++;
        }
    }

    /** A request was rejected. */
    void rejected(long latencyMicros) {
        if (latencyMicros < EARLY_BEFORE_MICROS) {
            earlyRejections++;
        }
        if (latencyMicros >= LATE_FROM_MICROS) {
            lateRejections++;
        }
    }

    /** A small task has been placed, whenever it was requested. */
    void placed(SmallTask task) {
        placed++;
        priorityWeight += task.priorityWeight();
        coreSecondsByTenant[task.tenant()] += task.coreSeconds();
    }

    /** Another task than a small one has been placed. */
    void placedOther(double weight) {
        priorityWeight += weight;
    }

    /** Sum of the priority weights of placed tasks. */
    double priorityWeight() {
        return priorityWeight;
    }

    /** Fraction of the requested tasks that their first request placed in time; 0 if none. */
    double placedInTimeFraction() {
        return placedInTime / (double) Math.max(1, requested);
    }

    /** What has been placed so far. */
    ServiceTotals serviceTotals() {
        List<TenantTotals> byTenant = new ArrayList<>();
        for (int i = 0; i < tenants.size(); i++) {
            byTenant.add(new TenantTotals(tenants.get(i), coreSecondsByTenant[i]));
        }
        return new ServiceTotals(placed, priorityWeight, byTenant);
    }

    /** The requests and answers so far. */
    AnswerTotals answerTotals() {
        return new AnswerTotals(
                requested,
                answerMicros.getValueAtPercentile(REPORTED_PERCENTILE),
                earlyRejections,
                lateRejections,
                unanswered);
    }
}
