package thornferry.app;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** A placer in a process of its own, so that its CPU time and memory can be measured. */
final class PlacerProcess implements AutoCloseable {
    private static final String LISTENING_LINE = "listens on ";
    private static final int ADDRESS_WORD = 2;
    private static final String RESIDENT_MEMORY_LINE = "VmRSS:";
    private static final long KILOBYTES_PER_MEGABYTE = 1_024;

    private final Process process;

    private PlacerProcess(Process process) {
        this.process = process;
    }

    /**
     * Starts a placer.
     *
     * @param config configuration file of the placer
     * @param heap maximum heap size, in the syntax of the JVM option {@code -Xmx}
     * @param jvmOptions additional options of the JVM
     */
    static PlacerProcess start(Path config, String heap, List<String> jvmOptions)
            throws IOException, URISyntaxException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-Xmx" + heap);
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", ownJar(), "thornferry.app.Main"));
        command.addAll(List.of("placer", config.toString(), "--log-level", "error"));
        return new PlacerProcess(
                new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start());
    }

    private static String ownJar() throws URISyntaxException {
        return Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI())
                .toString();
    }

    /**
     * Waits until the placer listens.
     *
     * @param instances number of the placer's instances, which listen on consecutive ports
     * @return the address of each instance
     */
    List<SocketAddress> awaitListening(int instances) throws IOException {
        int firstPort = readPort();
        List<SocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), firstPort + i));
        }
        return addresses;
    }

    /**
     * Reads the port from the line in which the placer prints its address; the JVM may print other
     * lines before it.
     */
    private int readPort() throws IOException {
        BufferedReader output =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line = output.readLine();
        while (line != null && !line.startsWith(LISTENING_LINE)) {
            line = output.readLine();
        }
        if (line == null) {
            throw new IOException("the placer exited without listening on a port");
        }
        String address = line.split(" ", -1)[ADDRESS_WORD];
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** Returns the CPU time since the start; zero if unknown. */
    Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns the resident memory; empty if it is not reported in {@code /proc}. */
    OptionalLong residentMegabytes() {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(line -> line.startsWith(RESIDENT_MEMORY_LINE))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .map(kilobytes -> kilobytes / KILOBYTES_PER_MEGABYTE)
                    .findFirst();
        } catch (IOException e) {
            return OptionalLong.empty();
        }
    }

    /** Terminates the process and waits until it exits. */
    @Override
    public void close() throws InterruptedException {
        process.destroy();
        process.waitFor();
    }
}
