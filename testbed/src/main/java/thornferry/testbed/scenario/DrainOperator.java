package thornferry.testbed.scenario;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.TimeUnit;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.v1.Drain;

/**
 * Starts and ends drains of nodes at every placer. It connects through the proxies, so that the
 * capture shows when each placer was notified.
 */
final class DrainOperator {
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 1;

    private final List<PlacerProcess> placers;
    private final LoginTargets targets;

    DrainOperator(List<PlacerProcess> placers, LoginTargets targets) {
        this.placers = placers;
        this.targets = targets;
    }

    /** Starts the drain of a node. */
    void startDrain(String node) {
        sendToAll(Drain.newBuilder().setNode(node).setOn(true).build());
    }

    /** Ends the drain of a node. */
    void endDrain(String node) {
        sendToAll(Drain.newBuilder().setNode(node).setOn(false).build());
    }

    private void sendToAll(Drain drain) {
        for (PlacerProcess placer : placers) {
            MultiThreadIoEventLoopGroup loops =
                    new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            ClientConnection.open(
                    loops.next(),
                    targets.target(placer.address(), ScenarioAccounts.OPERATOR),
                    FrameLimits.DEFAULTS,
                    new Session(drain, loops));
        }
    }

    /** One connection, which sends one request, awaits its receipt and disconnects. */
    private record Session(Drain drain, MultiThreadIoEventLoopGroup loops)
            implements ClientConnection.Listener {
        @Override
        public void connected(ClientConnection connection) {
            connection.request(Destinations.DRAIN, drain, error -> connection.disconnect());
        }

        @Override
        public void message(ClientConnection connection, Frame frame) {
            // the session subscribes to nothing
        }

        @Override
        public void closed(ClientConnection connection, String why) {
            loops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }
}
