package thornferry.app;

import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeBehavior;
import thornferry.agent.NodeShape;
import thornferry.agent.PlacerLogin;
import thornferry.protocol.Heartbeat;

/** Runs the agents of emulated nodes in the foreground. */
@Command(
        name = "agent",
        description = "Runs one or more emulated nodes until interrupted.",
        footer = {
            "",
            "Example: 100 nodes in three zones",
            "  thornferry agent --placer 127.0.0.1:61613 --node n --count 100 --zone"
                    + " hall-a,hall-b,hall-c \\",
            "    --kind std-node --cores 24 --memory 48 --login node --passcode change-me-too"
        })
final class AgentCommand implements Callable<Integer> {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--placer",
            required = true,
            split = ",",
            paramLabel = "HOST:PORT",
            description =
                    "Addresses of the placers to connect to; HOST:PORT-PORT for a range of ports.")
    private List<String> placers;

    @Option(
            names = "--node",
            required = true,
            description =
                    "Name of the node; with --count above 1, the prefix of the names, which end in"
                            + " -1, -2 and so on.")
    private String node;

    @Option(
            names = "--count",
            defaultValue = "1",
            description = "Number of nodes; default: ${DEFAULT-VALUE}.")
    private int count;

    @Option(
            names = "--kind",
            required = true,
            description = "Machine kind of the nodes, as named in the site's configuration.")
    private String kind;

    @Option(
            names = "--zone",
            required = true,
            split = ",",
            paramLabel = "<zones>",
            description = "Zone of the nodes; several zones are assigned to the nodes in turn.")
    private List<String> zones;

    @Option(names = "--cores", required = true, description = "CPU cores of each node.")
    private double cores;

    @Option(
            names = "--memory",
            required = true,
            description = "Memory of each node, in the unit of the site's configuration.")
    private double memory;

    @Option(
            names = "--login",
            description = "Login of the nodes' account; with --cert, taken from the certificate.")
    private String login;

    @Option(
            names = "--passcode",
            defaultValue = "${env:THORNFERRY_PASSCODE:-}",
            description =
                    "Passcode of the nodes' account; default: environment variable"
                            + " THORNFERRY_PASSCODE.")
    private String passcode;

    @Mixin private TlsOptions tls;

    @Option(
            names = "--heart-beat-ms",
            paramLabel = "<beat>",
            defaultValue = "2000",
            description =
                    "Heartbeat interval that the nodes propose for both directions, in"
                            + " milliseconds; default: ${DEFAULT-VALUE}.")
    private int heartbeatMillis;

    @Option(
            names = "--key-window",
            split = ",",
            paramLabel = "CLASS=MS",
            description =
                    "Deduplication window of a task class, in milliseconds: the time during which a"
                            + " zone drops further tasks of the class with the same key.")
    private Map<String, Long> keyWindowMillisByClass = new HashMap<>();

    @Option(
            names = "--instant",
            description =
                    "Makes the nodes answer offers and start tasks without delay, to measure a"
                            + " placer.")
    private boolean instant;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description =
                    "Random seed of the first node; each further node adds 1; default:"
                            + " ${DEFAULT-VALUE}.")
    private long seed;

    @Override
    public Integer call() throws Exception {
        if (!tls.hasCertificate() && (login == null || passcode.isEmpty())) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "either --login and --passcode or --cert is required");
        }
        List<SocketAddress> targets =
                placers.stream()
                        .flatMap(text -> Addresses.parse(spec, "--placer", text).stream())
                        .toList();
        int threads = Math.min(Runtime.getRuntime().availableProcessors(), count);
        AgentPool pool = new AgentPool(threads, tls.context());
        startNodes(pool, targets);
        System.out.println(
                formatCount(count, "node", "nodes")
                        + " for "
                        + formatCount(targets.size(), "placer", "placers"));
        JvmShutdown.await(pool::close);
        return ExitCode.OK;
    }

    private void startNodes(AgentPool pool, List<SocketAddress> targets) {
        NodeBehavior behavior = behavior();
        PlacerLogin placerLogin =
                new PlacerLogin(
                        targets,
                        login,
                        tls.hasCertificate() ? null : passcode,
                        new Heartbeat(heartbeatMillis, heartbeatMillis));
        for (int index = 0; index < count; index++) {
            pool.add(shape(index), behavior, placerLogin, seed + index, NodeAgent.Watcher.NONE);
        }
    }

    private NodeShape shape(int index) {
        String name = count == 1 ? node : node + "-" + (index + 1);
        String zone = zones.get(index % zones.size());
        return new NodeShape(name, kind, zone, index, cores, memory);
    }

    private NodeBehavior behavior() {
        Map<String, Long> keyWindowMicrosByClass =
                keyWindowMillisByClass.entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        window ->
                                                TimeUnit.MILLISECONDS.toMicros(window.getValue())));
        return instant
                ? NodeBehavior.instant(keyWindowMicrosByClass)
                : NodeBehavior.usual(keyWindowMicrosByClass);
    }

    private static String formatCount(int number, String singular, String plural) {
        return number + " " + (number == 1 ? singular : plural);
    }
}
