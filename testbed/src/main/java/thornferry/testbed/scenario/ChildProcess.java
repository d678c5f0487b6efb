package thornferry.testbed.scenario;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * A Java process with this program's classes that runs {@link ChildMain} and can be killed
 * (SIGKILL) and suspended (SIGSTOP). It ends by itself when its parent ends.
 */
final class ChildProcess {
    private static final long KILL_TIMEOUT_SECONDS = 10;
    private static final String SUSPEND_SIGNAL = "-STOP";
    private static final String RESUME_SIGNAL = "-CONT";

    private final Process process;
    private final int port;
    private final long readyNanos = System.nanoTime();

    private ChildProcess(Process process, int port) {
        this.process = process;
        this.port = port;
    }

    /**
     * Starts a process and waits until it is ready.
     *
     * @param failures receives the number of new failures whenever the child reports some
     * @throws IOException if it ends before it is ready
     */
    static ChildProcess start(ChildArguments arguments, LongConsumer failures) throws IOException {
        List<String> commandLine = arguments.toCommandLine();
        Process process =
                new ProcessBuilder(javaCommand(commandLine))
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        BufferedReader output =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        for (String line = output.readLine(); line != null; line = output.readLine()) {
            if (ChildReports.isReady(line)) {
                readFailuresInBackground(output, failures);
                return new ChildProcess(process, ChildReports.portOf(line));
            }
        }
        process.destroyForcibly();
        throw new IOException(
                "a child process ended before it was ready: " + String.join(" ", commandLine));
    }

    private static List<String> javaCommand(List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + "/bin/java");
        command.add("-Xmx512m");
        command.add("-XX:+UseSerialGC");
        command.add("-XX:TieredStopAtLevel=1");
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(ChildMain.class.getName());
        command.addAll(arguments);
        return command;
    }

    private static void readFailuresInBackground(BufferedReader output, LongConsumer failures) {
        Thread reader = new Thread(() -> readFailures(output, failures));
        reader.setDaemon(true);
        reader.start();
    }

    private static void readFailures(BufferedReader output, LongConsumer failures) {
        try (output) {
            for (String line = output.readLine(); line != null; line = output.readLine()) {
                if (ChildReports.isFailures(line)) {
                    failures.accept(ChildReports.failuresOf(line));
                }
            }
        } catch (IOException ended) {
            // the child was killed, which closed the pipe
        }
    }

    /** Where the child listens, if it does. */
    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Whether the process is alive and has been ready for at least this time. */
    boolean hasServedFor(Duration minUptime) {
        return process.isAlive() && System.nanoTime() - readyNanos >= minUptime.toNanos();
    }

    /** Kills the process (SIGKILL) and waits until it has ended. */
    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops all threads of the process until {@link #resume}. */
    void suspend() {
        signal(SUSPEND_SIGNAL);
    }

    /** Ends the effect of {@link #suspend}. */
    void resume() {
        signal(RESUME_SIGNAL);
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
        } catch (IOException e) {
            throw new IllegalStateException("the command kill cannot be run", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
