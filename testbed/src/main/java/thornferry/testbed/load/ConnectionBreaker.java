package thornferry.testbed.load;

import java.util.List;
import java.util.SplittableRandom;

/** Breaks the connections of clients drawn at random, at exponentially distributed intervals. */
final class ConnectionBreaker {
    private static final double NANOS_PER_SECOND = 1e9;

    private final List<LoadClient> clients;
    private final SplittableRandom random;
    private final double meanIntervalSeconds;
    private long nextNanos;

    ConnectionBreaker(
            List<LoadClient> clients,
            SplittableRandom random,
            double meanIntervalSeconds,
            long nowNanos) {
        this.clients = clients;
        this.random = random;
        this.meanIntervalSeconds = meanIntervalSeconds;
        nextNanos = nowNanos + drawIntervalNanos();
    }

    private long drawIntervalNanos() {
        return (long)
                (ExponentialDistribution.draw(random) * meanIntervalSeconds * NANOS_PER_SECOND);
    }

    /** Breaks a connection if it is time. */
    void tick(long nowNanos) {
        if (nextNanos <= nowNanos) {
            clients.get(random.nextInt(clients.size())).vanish();
            nextNanos = nowNanos + drawIntervalNanos();
        }
    }
}
