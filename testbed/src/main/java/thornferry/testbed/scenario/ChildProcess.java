package thornferry.testbed.scenario;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * A process of our own with this program's classes, that can be killed as the system kills
 * (SIGKILL) and stood still (SIGSTOP). It ends by itself when its parent does.
 */
final class ChildProcess {
    private static final long FAILURES_EVERY_MS = 500;

    private final Process process;
    private final int port;
    private final long serving = System.nanoTime();

    private ChildProcess(Process process, int port) {
        this.process = process;
        this.port = port;
    }

    /**
     * Starts one and waits until it serves; {@code failures} hears what its {@link #serve} counts.
     */
    static ChildProcess start(Class<?> main, List<String> args, LongConsumer failures)
            throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                System.getProperty("java.home") + "/bin/java",
                                "-Xmx512m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                main.getName()));
        command.addAll(args);
        Process process =
                new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        BufferedReader out =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        for (String line = out.readLine(); line != null; line = out.readLine()) {
            if (line.startsWith("serves ")) {
                Thread reader =
                        new Thread(
                                () -> {
                                    try (out) {
                                        for (String l = out.readLine();
                                                l != null;
                                                l = out.readLine()) {
                                            failures.accept(
                                                    l.startsWith("failures ")
                                                            ? Long.parseLong(l.substring(9))
                                                            : 0);
                                        }
                                    } catch (IOException e) {
                                        // it was killed, and the pipe closed
                                    }
                                });
                reader.setDaemon(true);
                reader.start();
                return new ChildProcess(process, Integer.parseInt(line.substring(7)));
            }
        }
        process.destroyForcibly();
        throw new IOException("a process ended before it served: " + String.join(" ", args));
    }

    /**
     * In the child: says that it serves, then each new count of failures, until the parent's end of
     * the pipe closes.
     */
    static void serve(int port, LongSupplier failures) throws IOException, InterruptedException {
        Thread parent =
                new Thread(
                        () -> {
                            try {
                                while (System.in.read() >= 0) {
                                    continue; // nothing is ever written to it: only its end is
                                    // awaited
                                }
                            } catch (IOException e) {
                                // as good as the end
                            }
                            Runtime.getRuntime().halt(0);
                        });
        parent.setDaemon(true);
        parent.start();
        System.out.println("serves " + port);
        for (long told = 0; ; ) {
            long now = failures.getAsLong();
            if (now > told) {
                System.out.println("failures " + (now - told));
                told = now;
            }
            Thread.sleep(FAILURES_EVERY_MS);
        }
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /** How long it has served; -1 where it serves no more. */
    long upForMs() {
        return process.isAlive() ? (System.nanoTime() - serving) / 1_000_000 : -1;
    }

    /** SIGKILL, and waits until it is gone. */
    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stands it still, or lets it go on. */
    void pause(boolean on) {
        try {
            new ProcessBuilder("kill", on ? "-STOP" : "-CONT", Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new IllegalStateException("no kill command", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
