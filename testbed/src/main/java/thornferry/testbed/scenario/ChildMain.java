package thornferry.testbed.scenario;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import thornferry.agent.AgentPool;
import thornferry.config.ConfigException;
import thornferry.placer.Placer;
import thornferry.placer.Site;

/** A child process of a scenario: one placer, or the nodes of some zones. */
final class ChildMain {
    private static final String HOST = "127.0.0.1";

    private ChildMain() {}

    /**
     * Runs until the parent ends or kills this process.
     *
     * @param args as written by {@link ChildArguments#toCommandLine}
     */
    public static void main(String[] args)
            throws IOException, ConfigException, InterruptedException {
        ChildArguments arguments = ChildArguments.parse(List.of(args));
        if (arguments instanceof ChildArguments.Placer placer) {
            runPlacer(placer);
        } else if (arguments instanceof ChildArguments.Nodes nodes) {
            runNodes(nodes);
        }
    }

    private static void runPlacer(ChildArguments.Placer arguments)
            throws IOException, ConfigException, InterruptedException {
        Site site =
                PlacerSite.of(arguments.readScenario(), arguments.number(), arguments.keys())
                        .withState(new Site.State(arguments.durability(), arguments.stateFolder()));
        Placer placer = Placer.start(site, HOST, 0, 1);
        int port = placer.addresses().get(0).getPort();
        ChildReports.reportUntilParentEnds(port, () -> placer.totals().policyFailures());
    }

    private static void runNodes(ChildArguments.Nodes arguments)
            throws IOException, ConfigException, InterruptedException {
        ScenarioFile scenario = arguments.readScenario();
        LoginTargets targets = LoginTargets.of(scenario, arguments.keys());
        AgentPool pool = FleetNodes.newPool(targets);
        List<SocketAddress> placers = new ArrayList<>();
        arguments
                .placerPorts()
                .forEach(
                        port ->
                                placers.add(
                                        new InetSocketAddress(
                                                InetAddress.getLoopbackAddress(), port)));
        FleetNodes nodes = new FleetNodes(scenario, pool, placers);
        nodes.start(zonesOf(scenario, arguments.number()), arguments.warm());
        ChildReports.reportUntilParentEnds(ChildReports.NO_PORT, () -> 0);
    }

    /** The zones whose nodes a process runs: the processes take the zones in turn. */
    private static Predicate<String> zonesOf(ScenarioFile scenario, int processNumber) {
        List<String> zones =
                scenario.fleets().stream()
                        .flatMap(fleet -> fleet.zones().stream())
                        .distinct()
                        .sorted()
                        .toList();
        int processCount = scenario.settings().nodeProcessCount();
        return zone -> zones.indexOf(zone) % processCount == processNumber;
    }
}
