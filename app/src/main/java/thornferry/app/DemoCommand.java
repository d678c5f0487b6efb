package thornferry.app;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeBehavior;
import thornferry.agent.NodeShape;
import thornferry.agent.PlacerLogin;
import thornferry.config.ConfigException;
import thornferry.config.SiteFile;
import thornferry.config.TomlFile;
import thornferry.placer.Placer;
import thornferry.protocol.Heartbeat;

/** Everything in one process, to look at and play with. */
@Command(
        name = "demo",
        description = "Run a placer and three stand-in nodes on loopback until interrupted.",
        footer = {"", "Example:", "  thornferry demo --port 61613"})
final class DemoCommand implements Callable<Integer> {
    @Option(
            names = "--port",
            defaultValue = "61613",
            description = "Where to listen; ${DEFAULT-VALUE}, 0 for any.")
    int port;

    /** A running demo. */
    record Running(Placer placer, AgentPool nodes, InetSocketAddress address)
            implements AutoCloseable {
        @Override
        public void close() {
            nodes.close();
            placer.close();
        }
    }

    static Running start(int port) throws IOException, ConfigException {
        String text;
        try (InputStream in = DemoCommand.class.getResourceAsStream("/demo.toml")) {
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        SiteFile site = SiteFile.of(TomlFile.parse("demo.toml", text));
        Placer placer = Placer.start(site.site(), site.host(), port, 1);
        InetSocketAddress address = placer.addresses().get(0);
        AgentPool nodes = new AgentPool(1);
        NodeBehavior behaviour = NodeBehavior.usual(Map.of("depot-sync", 5_000_000L));
        for (int i = 1; i <= 3; i++) {
            NodeShape shape =
                    new NodeShape(
                            "node-" + i, "std-node", "hall-" + (char) ('a' + i - 1), i, 24, 48);
            nodes.add(
                    shape,
                    behaviour,
                    new PlacerLogin(
                            List.<SocketAddress>of(address),
                            "demo-node",
                            "demo",
                            new Heartbeat(2_000, 2_000)),
                    i,
                    NodeAgent.Watcher.NONE);
        }
        return new Running(placer, nodes, address);
    }

    @Override
    public Integer call() throws Exception {
        Running running = start(port);
        int at = running.address().getPort();
        String more = at == 61613 ? "" : " --port " + at;
        System.out.println(
                """
                A placer listens on 127.0.0.1:%d (STOMP 1.2, login and passcode demo) with three stand-in nodes.
                Try in another terminal:
                  bin/thornferry nodes%s
                  bin/thornferry submit%s --class gauge-relay
                  bin/thornferry submit%s --class depot-sync --key depot-7 --follow
                  bin/thornferry submit%s --class levy-run --cores 10 --memory 20 --json
                  bin/thornferry drain%s node-2
                Ctrl-C ends it.\
                """
                        .formatted(at, more, more, more, more, more));
        System.out.flush();
        CountDownLatch end = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    running.close();
                                    end.countDown();
                                }));
        end.await();
        return 0;
    }
}
