package thornferry.testbed.scenario;

import java.io.IOException;
import java.time.Duration;

/**
 * A part of the cluster under test that is killed and restarted. Killed from one thread, restarted
 * from another.
 */
interface RestartableProcess {
    /** For log lines. */
    String name();

    /** Whether it is alive and has been ready for at least this time. */
    boolean hasServedFor(Duration minUptime);

    /** Kills it and records this in the capture. */
    void kill();

    /** Starts it again and waits until it is ready. */
    void restart() throws IOException;
}
