package thornferry.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thornferry.config.SiteFile;
import thornferry.config.TomlFile;
import thornferry.state.Durability;
import thornferry.testbed.audit.TraceAuditor;
import thornferry.testbed.capture.Capture;
import thornferry.testbed.capture.RecordingProxy;
import thornferry.testbed.load.LoadGenerator;

@Command(
        name = "load",
        description = "Measure a placer, in a process of its own, under open-loop load.",
        footer = {
            "",
            "Examples:",
            "  thornferry load --rate 130 --seconds 60 --clients 20 --vanish-every 0.5 --audit",
            "  thornferry load --rate 500,1000,2000,5000 --seconds 10 --nodes 1000 --json"
        })
final class LoadCommand implements Callable<Integer> {
    @Option(
            names = "--rate",
            split = ",",
            defaultValue = "130",
            description = "Tasks a second; several are steps, one after the other.")
    List<Double> rates;

    @Option(
            names = "--seconds",
            defaultValue = "60",
            description = "Of each step; ${DEFAULT-VALUE}.")
    int seconds;

    @Option(
            names = "--nodes",
            defaultValue = "100",
            description = "Stand-in nodes; ${DEFAULT-VALUE}.")
    int nodes;

    @Option(
            names = "--clients",
            defaultValue = "20",
            description = "Each an owner of its own; ${DEFAULT-VALUE}.")
    int clients;

    @Option(
            names = "--vanish-every",
            defaultValue = "0",
            description = "Seconds between clients that break off.")
    double vanishEvery;

    @Option(
            names = "--instances",
            defaultValue = "1",
            description = "Of the placer, one client in turn for each.")
    int instances;

    @Option(names = "--heart-beat-ms", defaultValue = "2000")
    int beat;

    @Option(
            names = "--audit",
            description = "Pass everything through a recording relay and audit the capture.")
    boolean audit;

    @Option(
            names = "--heap",
            defaultValue = "512m",
            description = "Of the placer's process; ${DEFAULT-VALUE}.")
    String heap;

    @Option(
            names = "--attach",
            split = ",",
            paramLabel = "HOST:PORT-PORT",
            description =
                    "Load these running placers, with the configuration that --print-site prints,"
                            + " and start none.")
    List<String> attach = new ArrayList<>();

    @Option(
            names = "--print-site",
            description = "Print the site's configuration for so many clients and end.")
    boolean printSite;

    @Option(
            names = "--jvm",
            paramLabel = "OPTION",
            description = "A further option for the placer's JVM; repeatable.")
    List<String> jvm = new ArrayList<>();

    @Option(
            names = "--waiting",
            defaultValue = "0",
            description = "Tasks that wait in vain meanwhile, larger than any node.")
    int waiting;

    @Option(
            names = "--no-line",
            description = "Without waiting line and reasons, to see what they cost.")
    boolean noLine;

    @Option(
            names = "--durability",
            defaultValue = "none",
            description = "Of the placer's promises: ${COMPLETION-CANDIDATES}; ${DEFAULT-VALUE}.")
    Durability durability;

    @Option(names = "--json", description = "A line of JSON for each step.")
    boolean json;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (printSite) {
            System.out.print(site());
            return 0;
        }
        return attach.isEmpty() ? startAndLoad() : load();
    }

    /** Load on placers that others run and look after. */
    private int load() throws InterruptedException {
        List<SocketAddress> targets = new ArrayList<>();
        attach.forEach(a -> targets.addAll(Addresses.parse(spec, "--attach", a)));
        int code = 0;
        try (LoadGenerator load =
                new LoadGenerator(
                        targets,
                        owners(),
                        "load",
                        "load-node",
                        new LoadGenerator.Fleet(nodes, "std-node", 24, 60, beat))) {
            Thread.sleep(5_000);
            for (double rate : rates) {
                LoadGenerator.Report report = load.run(rate, seconds, vanishEvery);
                print(report, Duration.ZERO, -1);
                code = report.levyTwice() > 0 || report.unanswered() > 0 ? Main.FAILED : code;
            }
        }
        return code;
    }

    private List<String> owners() {
        List<String> owners = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            owners.add("owner-" + i);
        }
        return owners;
    }

    private int startAndLoad() throws Exception {
        Path config = Files.createTempFile("thornferry-load", ".toml");
        Path state = Files.createTempDirectory("thornferry-load-state");
        Files.writeString(
                config,
                site()
                        + "[state]\ndurability = \""
                        + durability.name().toLowerCase(Locale.ROOT)
                        + "\"\nfolder = \""
                        + state
                        + "\"\n");
        SiteFile site = SiteFile.of(TomlFile.read(config));
        Process placer = start(config);
        Path captureFile = Files.createTempFile("thornferry-load", ".jsonl");
        List<RecordingProxy> relays = new ArrayList<>();
        int code = 0;
        try (Capture capture = new Capture(captureFile)) {
            int port = port(placer);
            List<SocketAddress> targets = new ArrayList<>();
            for (int i = 0; i < instances; i++) {
                targets.add(new InetSocketAddress("127.0.0.1", port + i));
            }
            if (audit) {
                capture.writeSite(site.site(), 1e9);
                for (int i = 0; i < instances; i++) {
                    relays.add(new RecordingProxy("p" + i, targets.get(i), capture));
                    targets.set(i, relays.get(i).address());
                }
            }
            try (LoadGenerator load =
                    new LoadGenerator(
                            targets,
                            owners(),
                            "load",
                            "load-node",
                            new LoadGenerator.Fleet(nodes, "std-node", 24, 60, beat))) {
                Thread.sleep(1_000 + nodes * (long) instances / 5); // all connect
                load.run(Math.min(500, rates.get(0)), 5, 0); // the machines that run this warm up
                load.fill(waiting);
                for (double rate : rates) {
                    Duration before = placer.info().totalCpuDuration().orElse(Duration.ZERO);
                    LoadGenerator.Report report = load.run(rate, seconds, vanishEvery);
                    Duration after = placer.info().totalCpuDuration().orElse(Duration.ZERO);
                    print(report, after.minus(before), resident(placer));
                    code = report.levyTwice() > 0 || report.unanswered() > 0 ? Main.FAILED : code;
                }
                capture.close();
            }
        } finally {
            relays.forEach(RecordingProxy::close);
            placer.destroy();
            placer.waitFor();
            Files.deleteIfExists(config);
            try (var all = Files.walk(state)) {
                all.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
        if (audit) {
            code =
                    Math.max(
                            code,
                            AuditCommand.print(
                                    captureFile, TraceAuditor.audit(captureFile, 250_000)));
        }
        if (code == 0) {
            Files.deleteIfExists(captureFile);
        }
        return code;
    }

    private String site() throws IOException {
        StringBuilder text = new StringBuilder();
        try (InputStream in = LoadCommand.class.getResourceAsStream("/load.toml")) {
            text.append(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
        for (int i = 0; i < clients; i++) {
            text.append("[[account]]\nlogin = \"owner-")
                    .append(i)
                    .append("\"\npasscode = \"load\"\nrole = \"owner\"\n");
        }
        text.append("[[account]]\nlogin = \"load-node\"\npasscode = \"load\"\nrole = \"agent\"\n");
        if (noLine) {
            text.append("[line]\non = false\n");
        }
        return text.toString()
                .replace(
                        "zone = \"hall-a\"\n",
                        "zone = \"hall-a\"\ninstances = "
                                + instances
                                + "\nport = "
                                + (instances > 1 ? 20_000 : 0)
                                + "\n");
    }

    private Process start(Path config) throws IOException, URISyntaxException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String jar =
                Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI())
                        .toString();
        List<String> command = new ArrayList<>(List.of(java, "-Xmx" + heap));
        command.addAll(jvm);
        command.addAll(
                List.of(
                        "-cp",
                        jar,
                        "thornferry.app.Main",
                        "placer",
                        config.toString(),
                        "--log-level",
                        "error"));
        return new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
    }

    private static int port(Process placer) throws IOException {
        BufferedReader out =
                new BufferedReader(
                        new InputStreamReader(placer.getInputStream(), StandardCharsets.UTF_8));
        String line = out.readLine();
        while (line != null && !line.startsWith("listens on ")) {
            line = out.readLine(); // the JVM's own words
        }
        if (line == null) {
            throw new IOException("the placer did not start");
        }
        String address = line.split(" ")[2];
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** Megabytes resident, by the system's own account. */
    private static long resident(Process process) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("\\D", "")) / 1_024;
                }
            }
        } catch (IOException e) {
            // another system: not known
        }
        return -1;
    }

    private void print(LoadGenerator.Report r, Duration cpu, long megabytes) {
        double perTask = cpu.toNanos() / 1e3 / Math.max(1, r.asked());
        if (json) {
            ObjectNode o =
                    new ObjectMapper()
                            .createObjectNode()
                            .put("rate", r.rate())
                            .put("nodes", nodes)
                            .put("asked", r.asked())
                            .put("placed", r.placed())
                            .put("refused", r.refused())
                            .put("failed", r.failed())
                            .put("unanswered", r.unanswered())
                            .put("excluded", r.excluded())
                            .put("levyTwice", r.levyTwice())
                            .put("cpuMicrosPerTask", Math.round(perTask))
                            .put("residentMb", megabytes);
            o.set("toOfferMicros", percentiles(r.toOffer()));
            o.set("toPromisedOfferMicros", percentiles(r.toPromisedOffer()));
            o.set("toResultMicros", percentiles(r.toResult()));
            System.out.println(o);
            return;
        }
        System.out.printf(
                "rate %.0f/s, %d nodes: %d asked, %d placed, %d refused, %d failed, %d unanswered,"
                        + " %d excluded from latencies, %d levy-run started twice%n",
                r.rate(),
                nodes,
                r.asked(),
                r.placed(),
                r.refused(),
                r.failed(),
                r.unanswered(),
                r.excluded(),
                r.levyTwice());
        System.out.printf("  SEND to result %s%n", line(r.toResult()));
        if (r.toOffer().getTotalCount() > 0) {
            System.out.printf("  SEND to offer  %s%n", line(r.toOffer()));
            System.out.printf(
                    "    keyed and unsafe, promised first (durability %s): %s%n",
                    durability.name().toLowerCase(Locale.ROOT), line(r.toPromisedOffer()));
        }
        if (megabytes >= 0) {
            System.out.printf("  placer: %.0f us CPU a task, %d MB resident%n", perTask, megabytes);
        }
    }

    private static String line(Histogram h) {
        return String.format(
                "p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, most %.2f ms",
                h.getValueAtPercentile(50) / 1e3,
                h.getValueAtPercentile(99) / 1e3,
                h.getValueAtPercentile(99.9) / 1e3,
                h.getMaxValue() / 1e3);
    }

    private static ObjectNode percentiles(Histogram h) {
        return new ObjectMapper()
                .createObjectNode()
                .put("p50", h.getValueAtPercentile(50))
                .put("p99", h.getValueAtPercentile(99))
                .put("p999", h.getValueAtPercentile(99.9))
                .put("most", h.getMaxValue());
    }
}
