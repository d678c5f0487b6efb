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

/** Runs agents of emulated nodes in the foreground. */
@Command(
        name = "agent",
        description = "Run one or many nodes with stand-in work until interrupted.",
        footer = {
            "",
            "Example, 100 nodes over three halls:",
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
            description = "Each placer to dial; HOST:PORT-PORT for a range.")
    private List<String> placers;

    @Option(
            names = "--node",
            required = true,
            description = "Its name, or the start of their names with --count.")
    private String node;

    @Option(
            names = "--count",
            defaultValue = "1",
            description = "How many nodes; ${DEFAULT-VALUE}.")
    private int count;

    @Option(names = "--kind", required = true, description = "A kind of the site's configuration.")
    private String kind;

    @Option(
            names = "--zone",
            required = true,
            split = ",",
            paramLabel = "<zones>",
            description = "Its zone; several are used in turn.")
    private List<String> zones;

    @Option(names = "--cores", required = true)
    private double cores;

    @Option(names = "--memory", required = true)
    private double memory;

    @Option(names = "--login", description = "With --cert the certificate tells.")
    private String login;

    @Option(
            names = "--passcode",
            defaultValue = "${env:THORNFERRY_PASSCODE:-}",
            description = "THORNFERRY_PASSCODE.")
    private String passcode;

    @Mixin private TlsOptions tls;

    @Option(
            names = "--heart-beat-ms",
            paramLabel = "<beat>",
            defaultValue = "2000",
            description = "Offered both ways; ${DEFAULT-VALUE}.")
    private int heartbeatMillis;

    @Option(
            names = "--key-window",
            split = ",",
            paramLabel = "CLASS=MS",
            description = "Repeats of a key of this class are dropped in a hall for so long.")
    private Map<String, Long> keyWindowMillisByClass = new HashMap<>();

    @Option(
            names = "--instant",
            description = "Answer and start without delay: to measure a placer.")
    private boolean instant;

    @Option(names = "--seed", defaultValue = "1")
    private long seed;

    @Override
    public Integer call() throws Exception {
        if (!tls.hasCertificate() && (login == null || passcode.isEmpty())) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--login and --passcode, or --cert, are needed");
        }
        List<SocketAddress> targets =
                placers.stream()
                        .flatMap(text -> Addresses.parse(spec, "--placer", text).stream())
                        .toList();
        int threads = Math.min(Runtime.getRuntime().availableProcessors(), count);
        AgentPool pool = new AgentPool(threads, tls.context());
        startNodes(pool, targets);
        System.out.println(
                counted(count, "node", "nodes")
                        + " for "
                        + counted(targets.size(), "placer", "placers"));
        UntilShutdown.await(pool::close);
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

    private static String counted(int number, String singular, String plural) {
        return number + " " + (number == 1 ? singular : plural);
    }
}
