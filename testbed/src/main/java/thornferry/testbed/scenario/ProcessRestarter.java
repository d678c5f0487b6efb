package thornferry.testbed.scenario;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Kills processes and restarts them after a time. */
final class ProcessRestarter {
    private static final Logger LOG = LoggerFactory.getLogger(ProcessRestarter.class);

    /** A process that is killed sooner after its start has done nothing worth a kill. */
    private static final Duration MIN_UPTIME = Duration.ofMillis(1_500);

    private static final long RETRY_MILLIS = 200;
    private static final long STOP_TIMEOUT_SECONDS = 30;

    private final ScheduledExecutorService scheduler;
    private final ExecutorService starts = Executors.newCachedThreadPool();

    /**
     * @param scheduler of a single thread, from which processes are killed
     */
    ProcessRestarter(ScheduledExecutorService scheduler) {
        this.scheduler = scheduler;
    }

    /** Kills a process, as soon as it has been up for long enough, and restarts it. */
    void killAndRestart(RestartableProcess process, long downMillis) {
        if (!process.hasServedFor(MIN_UPTIME)) {
            scheduler.schedule(
                    () -> killAndRestart(process, downMillis), RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        process.kill();
        scheduler.schedule(
                () -> starts.execute(() -> restart(process)), downMillis, TimeUnit.MILLISECONDS);
    }

    private static void restart(RestartableProcess process) {
        try {
            process.restart();
        } catch (IOException e) {
            LOG.atError()
                    .addKeyValue("process", process.name())
                    .setCause(e)
                    .log("cannot restart a killed process");
        }
    }

    /** Waits for the restarts that have begun; to be called after the scheduler has ended. */
    void awaitRestarts() throws InterruptedException {
        starts.shutdown();
        starts.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
