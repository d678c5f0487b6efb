package thornferry.testbed.load;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import thornferry.protocol.v1.TaskNews;

/**
 * Clients that request small tasks in an open loop, each tenant at the same rate, and retry a
 * rejected one after the placer's Retry-After.
 */
final class SmallTaskWorkload {
    private static final long SEED = 5;
    private static final int MAX_ATTEMPTS = 4;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MIN_RETRY_MILLIS = 1;
    private static final long POLL_MILLIS = 1;

    /** A request, and the measurement of the time in which it was first sent. */
    private record Request(SmallTask task, int attempt, OverloadMeasurement measurement) {}

    private final OverloadCluster cluster;
    private final int tenantCount;
    private final SplittableRandom random = new SplittableRandom(SEED);
    private final SmallTaskFactory tasks = new SmallTaskFactory(random);
    private OverloadMeasurement current; // of the event loop

    SmallTaskWorkload(OverloadCluster cluster, OverloadMeasurement initial, int tenantCount) {
        this.cluster = cluster;
        this.tenantCount = tenantCount;
        current = initial;
    }

    /**
     * From now on, new requests, their answers, and all placements belong to this measurement. The
     * answers to earlier requests still belong to the previous one.
     */
    void measureInto(OverloadMeasurement measurement) {
        cluster.runOnLoop(() -> current = measurement);
    }

    /** Sends requests for some time, at times drawn from a Poisson process. */
    void generate(double tasksPerSecond, Duration duration) throws InterruptedException {
        long beginNanos = System.nanoTime();
        long seconds = duration.toSeconds();
        double nextSeconds = 0;
        int sent = 0;
        while (nextSeconds < seconds) {
            double elapsedSeconds = (System.nanoTime() - beginNanos) / NANOS_PER_SECOND;
            while (nextSeconds <= elapsedSeconds && nextSeconds < seconds) {
                int tenant = sent % tenantCount;
                sent++;
                cluster.runOnLoop(() -> requestTask(tenant));
                nextSeconds += ExponentialDistribution.draw(random) / tasksPerSecond;
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Sends many requests at the same time. */
    void burst(int count) {
        cluster.runOnLoop(
                () -> {
                    for (int i = 0; i < count; i++) {
                        requestTask(i % tenantCount);
                    }
                });
    }

    private void requestTask(int tenant) {
        SmallTask task = tasks.next(tenant);
        current.requested();
        submit(new Request(task, 1, current));
    }

    private void submit(Request request) {
        long beginNanos = System.nanoTime();
        cluster.submit(request.task().tenant(), request.task().task())
                .whenCompleteAsync(
                        (result, error) -> {
                            if (error == null) {
                                long nanos = System.nanoTime() - beginNanos;
                                answered(request, result, nanos / NANOS_PER_MICRO);
                            } else {
                                request.measurement().unanswered();
                            }
                        },
                        cluster.loop());
    }

    private void answered(Request request, TaskNews result, long latencyMicros) {
        request.measurement().answered(latencyMicros);
        switch (TaskOutcome.of(result)) {
            case PLACED -> {
                if (request.attempt() == 1) {
                    request.measurement().placedAtFirstAttempt(latencyMicros);
                }
                current.placed(request.task());
            }
            case REJECTED -> {
                request.measurement().rejected(latencyMicros);
                if (request.attempt() < MAX_ATTEMPTS) {
                    retry(request, Math.max(MIN_RETRY_MILLIS, result.getRetryAfterMs()));
                }
            }
            default -> {} // failed: no retry
        }
    }

    private void retry(Request request, long delayMillis) {
        Request next = new Request(request.task(), request.attempt() + 1, request.measurement());
        cluster.loop().schedule(() -> submit(next), delayMillis, TimeUnit.MILLISECONDS);
    }
}
