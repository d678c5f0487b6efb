package thornferry.app;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeBehavior;
import thornferry.agent.NodeShape;
import thornferry.agent.PlacerLogin;
import thornferry.protocol.Heartbeat;

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
    List<String> placers;

    @Option(
            names = "--node",
            required = true,
            description = "Its name, or the start of their names with --count.")
    String node;

    @Option(
            names = "--count",
            defaultValue = "1",
            description = "How many nodes; ${DEFAULT-VALUE}.")
    int count;

    @Option(names = "--kind", required = true, description = "A kind of the site's configuration.")
    String kind;

    @Option(
            names = "--zone",
            required = true,
            split = ",",
            description = "Its zone; several are used in turn.")
    List<String> zones;

    @Option(names = "--cores", required = true)
    double cores;

    @Option(names = "--memory", required = true)
    double memory;

    @Option(names = "--login", description = "With --cert the certificate tells.")
    String login;

    @Option(
            names = "--passcode",
            defaultValue = "${env:THORNFERRY_PASSCODE:-}",
            description = "THORNFERRY_PASSCODE.")
    String passcode;

    @CommandLine.Mixin TlsOptions tls;

    @Option(
            names = "--heart-beat-ms",
            defaultValue = "2000",
            description = "Offered both ways; ${DEFAULT-VALUE}.")
    int beat;

    @Option(
            names = "--key-window",
            split = ",",
            paramLabel = "CLASS=MS",
            description = "Repeats of a key of this class are dropped in a hall for so long.")
    Map<String, Long> keyWindows = new HashMap<>();

    @Option(
            names = "--instant",
            description = "Answer and start without delay: to measure a placer.")
    boolean instant;

    @Option(names = "--seed", defaultValue = "1")
    long seed;

    @Override
    public Integer call() throws Exception {
        if (!tls.certified() && (login == null || passcode.isEmpty())) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--login and --passcode, or --cert, are needed");
        }
        List<SocketAddress> targets = new ArrayList<>();
        placers.forEach(p -> targets.addAll(Addresses.parse(spec, "--placer", p)));
        Map<String, Long> windows = new HashMap<>();
        keyWindows.forEach((k, ms) -> windows.put(k, ms * 1_000));
        NodeBehavior behaviour =
                instant ? NodeBehavior.instant(windows) : NodeBehavior.usual(windows);
        AgentPool pool =
                new AgentPool(
                        Math.min(Runtime.getRuntime().availableProcessors(), count), tls.context());
        for (int i = 0; i < count; i++) {
            String name = count == 1 ? node : node + "-" + (i + 1);
            pool.add(
                    new NodeShape(name, kind, zones.get(i % zones.size()), i, cores, memory),
                    behaviour,
                    new PlacerLogin(
                            targets,
                            login,
                            tls.certified() ? null : passcode,
                            new Heartbeat(beat, beat)),
                    seed + i,
                    NodeAgent.Watcher.NONE);
        }
        System.out.println(
                count
                        + (count == 1 ? " node" : " nodes")
                        + " for "
                        + targets.size()
                        + " placer"
                        + (targets.size() == 1 ? "" : "s"));
        CountDownLatch end = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    pool.close();
                                    end.countDown();
                                }));
        end.await();
        return 0;
    }
}
