package thornferry.testbed.load;

import io.netty.channel.EventLoop;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import thornferry.client.TaskClient;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.v1.Task;

/** A client that measures the latency of its results, and whose connection can be broken. */
final class LoadClient implements AutoCloseable {
    private static final long AWAY_MILLIS = 300;

    /** Time after a broken connection in which latencies are those of the reconnect. */
    private static final long DISTURBED_NANOS = TimeUnit.MILLISECONDS.toNanos(2 * AWAY_MILLIS);

    private static final long NANOS_PER_MICRO = 1_000;

    private final TaskClient client;
    private volatile OptionalLong lastVanishNanos = OptionalLong.empty();

    LoadClient(ClientConnection.Target target, EventLoop loop) {
        client = TaskClient.connect(target, loop, event -> {});
    }

    /** Time since a reading of {@link System#nanoTime}, in microseconds, at least 0. */
    static long microsSince(long nanos) {
        return Math.max(0, (System.nanoTime() - nanos) / NANOS_PER_MICRO);
    }

    /** Requests a task that was due at the given time, and measures its result. */
    void submit(Task task, long dueNanos, StepMeasurement measurement) {
        client.submit(task)
                .whenComplete(
                        (result, error) -> {
                            if (isDisturbed(dueNanos)) {
                                measurement.taskExcluded();
                            } else if (error == null) {
                                measurement.resultReceived(microsSince(dueNanos));
                            }
                            if (error == null) {
                                measurement.taskCompleted(TaskOutcome.of(result));
                            } else {
                                measurement.taskEndedWithoutResult();
                            }
                        });
    }

    /** Requests a task whose result is not measured. */
    void submitUnmeasured(Task task) {
        client.submit(task);
    }

    /** Breaks the connection without notice; the client reconnects after a short time. */
    void vanish() {
        lastVanishNanos = OptionalLong.of(System.nanoTime());
        client.vanish(AWAY_MILLIS);
    }

    /**
     * Whether the connection has broken after, or shortly before, a task was due: its latency is
     * then that of the reconnect.
     */
    boolean isDisturbed(long dueNanos) {
        OptionalLong vanishNanos = lastVanishNanos;
        return vanishNanos.isPresent() && vanishNanos.getAsLong() + DISTURBED_NANOS > dueNanos;
    }

    @Override
    public void close() {
        client.close();
    }
}
