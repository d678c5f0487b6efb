package thornferry.app;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
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

/** A placer and three emulated nodes in this process, connected over the loopback interface. */
final class DemoCluster implements AutoCloseable {
    private static final String CONFIGURATION = "demo.toml";
    private static final List<String> ZONES = List.of("hall-a", "hall-b", "hall-c");
    private static final String NODE_KIND = "std-node";
    private static final double NODE_CORES = 24;
    private static final double NODE_MEMORY = 48;
    private static final String NODE_LOGIN = "demo-node";
    private static final String NODE_PASSCODE = "demo";
    private static final Heartbeat HEARTBEAT = new Heartbeat(2_000, 2_000);
    private static final Map<String, Long> KEY_WINDOW_MICROS_BY_CLASS =
            Map.of("depot-sync", 5_000_000L);

    private final Placer placer;
    private final AgentPool nodes = new AgentPool(1);

    private DemoCluster(Placer placer) {
        this.placer = placer;
    }

    /**
     * Starts the placer and its nodes.
     *
     * @param port TCP port of the placer; 0 for any free port
     */
    static DemoCluster start(int port) throws IOException, ConfigException {
        SiteFile file = SiteFile.of(TomlFile.parse(CONFIGURATION, readConfiguration()));
        DemoCluster cluster = new DemoCluster(Placer.start(file.site(), file.host(), port, 1));
        cluster.startNodes();
        return cluster;
    }

    private static String readConfiguration() throws IOException {
        try (InputStream in = DemoCluster.class.getResourceAsStream("/" + CONFIGURATION)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private void startNodes() {
        NodeBehavior behavior = NodeBehavior.usual(KEY_WINDOW_MICROS_BY_CLASS);
        PlacerLogin login =
                new PlacerLogin(List.of(address()), NODE_LOGIN, NODE_PASSCODE, HEARTBEAT);
        for (int number = 1; number <= ZONES.size(); number++) {
            NodeShape shape =
                    new NodeShape(
                            "node-" + number,
                            NODE_KIND,
                            ZONES.get(number - 1),
                            number,
                            NODE_CORES,
                            NODE_MEMORY);
            nodes.add(shape, behavior, login, number, NodeAgent.Watcher.NONE);
        }
    }

    /** Returns the address of the placer. */
    InetSocketAddress address() {
        return placer.addresses().get(0);
    }

    @Override
    public void close() {
        nodes.close();
        placer.close();
    }
}
