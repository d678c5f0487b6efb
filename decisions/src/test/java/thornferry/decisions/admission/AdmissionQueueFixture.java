package thornferry.decisions.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thornferry.decisions.membership.ClusterView;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineKind;
import thornferry.decisions.placement.Placement.MachineState;

/**
 * An admission queue for one machine of 100 cores, with a simulated clock and a record of the
 * queue's actions.
 */
final class AdmissionQueueFixture {
    static final long MILLISECOND = 1_000;
    static final long SECOND = 1_000_000;
    static final String MACHINE = "m1";

    private static final double UNLIMITED = Double.POSITIVE_INFINITY;
    private static final long TICK_MICROS = 20 * MILLISECOND;
    private static final long SEED = 7;

    private final ClusterView cluster = new ClusterView(List.of(new MachineKind("std", 100, 100)));
    private final List<String> dispatched = new ArrayList<>();
    private final Map<String, AdmissionQueue.Reject> rejected = new HashMap<>();
    private final List<String> recalled = new ArrayList<>();
    private long nowMicros = 1_000 * SECOND;
    private int lastRequestNumber;
    private AdmissionQueue queue;

    /** Replaces the queue with an empty one; the clock and the recorded actions remain. */
    void start(AdmissionSettings settings) {
        cluster.update(
                List.of(
                        new MachineEntry(
                                MACHINE, "a", "std", 1, MachineState.READY, 100, 100, 1, 1)));
        queue = new AdmissionQueue(settings, cluster, SEED);
    }

    /** Returns settings with short times and without quotas. */
    static AdmissionSettings settings(int maxDispatched, int oldestEvery, long reserveForMicros) {
        return new AdmissionSettings(
                true,
                10_000,
                maxDispatched,
                200 * MILLISECOND,
                250 * MILLISECOND,
                0.3,
                SECOND,
                oldestEvery,
                0.3,
                SECOND,
                reserveForMicros,
                0.5,
                2,
                500 * MILLISECOND,
                30 * SECOND,
                Quota.UNLIMITED,
                Quota.UNLIMITED,
                Quota.UNLIMITED,
                Map.of(),
                Map.of(),
                Map.of(),
                Set.of());
    }

    static AdmissionSettings withShedClasses(AdmissionSettings base, Set<String> shedClasses) {
        return copy(base, base.maxQueued(), base.largeTaskFraction(), shedClasses);
    }

    static AdmissionSettings withMaxQueuedAndNoLargeTasks(AdmissionSettings base, int maxQueued) {
        return copy(base, maxQueued, 1, base.shedClasses());
    }

    private static AdmissionSettings copy(
            AdmissionSettings base,
            int maxQueued,
            double largeTaskFraction,
            Set<String> shedClasses) {
        return new AdmissionSettings(
                base.enabled(),
                maxQueued,
                base.maxDispatched(),
                base.recallAfterMicros(),
                base.backoffMicros(),
                base.targetWaitFraction(),
                base.intervalMicros(),
                base.oldestEvery(),
                largeTaskFraction,
                base.reserveAfterMicros(),
                base.reserveForMicros(),
                base.retryRatio(),
                base.retryPerSecond(),
                base.minRetryAfterMicros(),
                base.maxRetryAfterMicros(),
                base.ownerQuota(),
                base.tenantQuota(),
                base.siteQuota(),
                base.ownerQuotas(),
                base.tenantQuotas(),
                base.tenantShares(),
                shedClasses);
    }

    /** Returns a quota on tasks at a time, tasks per second and cores. */
    static Quota quota(double maxTasks, double perSecond, double maxCores) {
        double burst = perSecond == UNLIMITED ? UNLIMITED : 1;
        return new Quota(UNLIMITED, maxTasks, perSecond, burst, maxCores, UNLIMITED);
    }

    static Quota taskQuota(double maxTasks) {
        return quota(maxTasks, UNLIMITED, UNLIMITED);
    }

    AdmissionQueue queue() {
        return queue;
    }

    ClusterView cluster() {
        return cluster;
    }

    long nowMicros() {
        return nowMicros;
    }

    /** Returns the ids of the dispatched requests, in order of dispatch. */
    List<String> dispatched() {
        return dispatched;
    }

    /** Returns the rejections by request id. */
    Map<String, AdmissionQueue.Reject> rejected() {
        return rejected;
    }

    /** Returns the ids of the recalled requests, in order of recall. */
    List<String> recalled() {
        return recalled;
    }

    String lastDispatched() {
        return dispatched.get(dispatched.size() - 1);
    }

    AdmissionQueue.Status status(String requestId) {
        return queue.status(nowMicros, requestId);
    }

    /** Returns a builder of a request that, unless changed, has weight 1 and needs one core. */
    RequestBuilder request(String owner, String tenant, long maxWaitMicros) {
        return new RequestBuilder(owner, tenant, maxWaitMicros);
    }

    /** Submits a request of weight 1 for one core and returns its id. */
    String arrive(String owner, String tenant, long maxWaitMicros) {
        return request(owner, tenant, maxWaitMicros).arrive();
    }

    void reload(AdmissionSettings settings) {
        queue.reload(nowMicros, settings, this::record);
    }

    void startAttempt(String requestId) {
        startAttempt(requestId, MACHINE, false);
    }

    void startAttempt(String requestId, String machine, boolean repeat) {
        queue.recordAttemptStart(nowMicros, requestId, machine, repeat);
    }

    void endAttempt(String requestId) {
        queue.recordAttemptEnd(nowMicros, requestId);
    }

    /** Starts an attempt of the request and places it. */
    void place(String requestId) {
        startAttempt(requestId);
        markPlaced(requestId);
    }

    void markPlaced(String requestId) {
        queue.recordPlacement(nowMicros, requestId, this::record);
    }

    void finish(String requestId) {
        queue.recordEnd(nowMicros, requestId, this::record);
    }

    void tick() {
        queue.tick(nowMicros, this::record);
    }

    /** Advances the clock without a tick. */
    void advanceClock(long micros) {
        nowMicros += micros;
    }

    /** Advances the clock and ticks the queue every 20 ms. */
    void pass(long micros) {
        long endMicros = nowMicros + micros;
        while (nowMicros < endMicros) {
            advanceClock(TICK_MICROS);
            tick();
        }
    }

    private void record(AdmissionQueue.Action action) {
        if (action instanceof AdmissionQueue.Dispatch dispatch) {
            dispatched.add(dispatch.requestId());
        } else if (action instanceof AdmissionQueue.Reject shed) {
            assertThat(rejected.put(shed.requestId(), shed))
                    .as("earlier rejection of the same request")
                    .isNull();
        } else if (action instanceof AdmissionQueue.Recall recall) {
            recalled.add(recall.requestId());
        }
    }

    /** Builds a request and submits it to the queue. */
    final class RequestBuilder {
        private final String owner;
        private final String tenant;
        private final long maxWaitMicros;
        private String taskClass = "c";
        private double priorityWeight = 1;
        private double cores = 1;
        private boolean retry;
        private String rejectedBy = "";

        private RequestBuilder(String owner, String tenant, long maxWaitMicros) {
            this.owner = owner;
            this.tenant = tenant;
            this.maxWaitMicros = maxWaitMicros;
        }

        RequestBuilder taskClass(String value) {
            taskClass = value;
            return this;
        }

        RequestBuilder priorityWeight(double value) {
            priorityWeight = value;
            return this;
        }

        /** Sets cores and the same amount of memory. */
        RequestBuilder cores(double value) {
            cores = value;
            return this;
        }

        RequestBuilder retry(boolean value) {
            retry = value;
            return this;
        }

        RequestBuilder rejectedBy(String machine) {
            rejectedBy = machine;
            return this;
        }

        /** Submits the request at the current time and returns its id. */
        String arrive() {
            lastRequestNumber++;
            String requestId = owner + "-" + lastRequestNumber;
            QueuedRequest request =
                    new QueuedRequest(
                            requestId,
                            owner,
                            tenant,
                            taskClass,
                            priorityWeight,
                            cores,
                            cores,
                            nowMicros + maxWaitMicros,
                            0,
                            retry,
                            rejectedBy);
            queue.handleArrival(nowMicros, request, AdmissionQueueFixture.this::record);
            return requestId;
        }
    }
}
