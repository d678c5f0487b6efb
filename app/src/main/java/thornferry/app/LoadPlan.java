package thornferry.app;

import java.net.SocketAddress;
import java.util.List;
import java.util.stream.IntStream;
import thornferry.protocol.Heartbeat;
import thornferry.testbed.load.LoadStep;
import thornferry.testbed.load.LoadTarget;
import thornferry.testbed.load.NodeFleet;

/**
 * The load to generate.
 *
 * @param steps the steps, which run one after the other
 * @param clientCount number of clients, each with an account of its own
 * @param fleet the emulated nodes
 * @param heartbeat heartbeat intervals that clients and nodes propose
 */
record LoadPlan(List<LoadStep> steps, int clientCount, NodeFleet fleet, Heartbeat heartbeat) {
    LoadPlan {
        steps = List.copyOf(steps);
    }

    /** Returns a target of these placers with the accounts of {@link MeasurementSite}. */
    LoadTarget target(List<SocketAddress> placers) {
        List<String> owners =
                IntStream.range(0, clientCount).mapToObj(MeasurementSite::ownerLogin).toList();
        return new LoadTarget(
                placers, owners, MeasurementSite.AGENT_LOGIN, MeasurementSite.PASSCODE, heartbeat);
    }
}
