package thornferry.testbed.scenario;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import thornferry.testbed.capture.Capture;
import thornferry.testbed.capture.RecordingProxy;

/**
 * A placer in a process of its own, behind a recording proxy. The proxy and its address stay when
 * the placer restarts.
 */
final class PlacerProcess implements RestartableProcess, AutoCloseable {
    private static final String KILL_MARK = "placer-killed";
    private static final long PAUSE_ENDS_NOW = 0;

    private final ChildArguments.Placer arguments;
    private final Capture capture;
    private final LongConsumer policyFailures;
    private final RecordingProxy proxy;
    private volatile ChildProcess process;

    private PlacerProcess(
            ChildArguments.Placer arguments,
            Capture capture,
            LongConsumer policyFailures,
            RecordingProxy proxy,
            ChildProcess process) {
        this.arguments = arguments;
        this.capture = capture;
        this.policyFailures = policyFailures;
        this.proxy = proxy;
        this.process = process;
    }

    /**
     * Starts a placer and its proxy.
     *
     * @param targets how the proxy connects to the placer
     * @param policyFailures receives new failures of the placement policy
     */
    static PlacerProcess start(
            ChildArguments.Placer arguments,
            LoginTargets targets,
            Capture capture,
            LongConsumer policyFailures)
            throws IOException {
        ChildProcess process = ChildProcess.start(arguments, policyFailures);
        try {
            Optional<ScenarioKeys> keys = arguments.keys();
            SslContext serverTls = keys.isPresent() ? keys.get().newServerContext() : null;
            RecordingProxy proxy =
                    new RecordingProxy(
                            PlacerSite.nameOf(arguments.number()),
                            process.address(),
                            capture,
                            serverTls,
                            targets.tlsOrNull());
            return new PlacerProcess(arguments, capture, policyFailures, proxy, process);
        } catch (IOException e) {
            process.kill();
            throw e;
        }
    }

    @Override
    public String name() {
        return PlacerSite.nameOf(arguments.number());
    }

    /** The address of the proxy. */
    InetSocketAddress address() {
        return proxy.address();
    }

    RecordingProxy proxy() {
        return proxy;
    }

    @Override
    public boolean hasServedFor(Duration minUptime) {
        return process.hasServedFor(minUptime);
    }

    @Override
    public void kill() {
        process.kill();
        proxy.closeAll();
        capture.writeMark(KILL_MARK, name());
    }

    @Override
    public void restart() throws IOException {
        process = ChildProcess.start(arguments, policyFailures);
        proxy.target(process.address());
    }

    /**
     * Suspends the process; it is resumed by a timer, unless it was killed and restarted. On a busy
     * machine the timer is late, so the capture gets the true end of the pause as well.
     */
    void suspendFor(long millis, ScheduledExecutorService scheduler) {
        capture.writePause(name(), TimeUnit.MILLISECONDS.toMicros(millis));
        ChildProcess suspended = process;
        suspended.suspend();
        scheduler.schedule(() -> resume(suspended), millis, TimeUnit.MILLISECONDS);
    }

    private void resume(ChildProcess suspended) {
        writePauseEnd(suspended);
        suspended.resume();
        writePauseEnd(suspended);
    }

    private void writePauseEnd(ChildProcess suspended) {
        if (process == suspended) {
            capture.writePause(name(), PAUSE_ENDS_NOW);
        }
    }

    /** Closes the proxy and kills the process. */
    @Override
    public void close() {
        proxy.close();
        process.kill();
    }
}
