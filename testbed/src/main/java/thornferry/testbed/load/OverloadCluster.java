package thornferry.testbed.load;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeBehavior;
import thornferry.client.TaskClient;
import thornferry.placer.Placer;
import thornferry.placer.Site;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;

/**
 * The placer, emulated nodes and clients of one experiment. The clients and everything that the
 * experiment measures are confined to one event loop.
 */
final class OverloadCluster implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final String AGENT_LOGIN = "load-node";
    private static final String PASSCODE = "load";
    private static final Heartbeat HEARTBEAT = new Heartbeat(2_000, 2_000);
    private static final long CONNECT_MILLIS = 2_000;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final List<TaskClient> clients = new ArrayList<>();
    private final Placer placer;
    private final EmulatedNodes nodes;

    /**
     * Starts a cluster and waits until its nodes and clients are connected.
     *
     * @param site the configuration of the placer, a variant of the site of {@code setup}
     */
    OverloadCluster(OverloadSetup setup, Site site) throws IOException, InterruptedException {
        placer = Placer.start(site, HOST, 0, 1);
        List<SocketAddress> address = List.of(placer.addresses().get(0));
        List<String> owners = setup.tenants().stream().map(TenantAccount::owner).toList();
        LoadTarget target = new LoadTarget(address, owners, AGENT_LOGIN, PASSCODE, HEARTBEAT);
        nodes =
                new EmulatedNodes(
                        setup.fleet(), nodeBehavior(), target.nodeLogin(), NodeAgent.Watcher.NONE);
        for (int i = 0; i < owners.size(); i++) {
            clients.add(TaskClient.connect(target.clientTarget(i), loop, event -> {}));
        }
        Thread.sleep(CONNECT_MILLIS);
    }

    /** Nodes that decide and start quickly, without slow start and usage reports. */
    private static NodeBehavior nodeBehavior() {
        NodeBehavior usual = NodeBehavior.usual(TaskClasses.KEY_WINDOW_MICROS);
        return new NodeBehavior(
                /* minDecisionMicros= */ 500,
                /* maxDecisionMicros= */ 1_500,
                /* offerQueueLength= */ 64,
                /* concurrentStarts= */ 64,
                /* startMicros= */ 5_000,
                /* coldProgramFactor= */ 2,
                /* cachedPrograms= */ 8,
                /* slowStartMicros= */ 0,
                /* slowStartInitialShare= */ 1,
                /* slowStartMultiple= */ 1e9,
                /* slowStartWindowMicros= */ 1_000_000,
                /* slowStartOffers= */ Integer.MAX_VALUE,
                /* minUsageFraction= */ 0.5,
                /* maxUsageFraction= */ 0.9,
                usual.defaultRunMicros(),
                /* usageReportMicros= */ 0,
                usual.keyWindowMicrosByClass());
    }

    /** Requests a task as the client of a tenant. */
    CompletableFuture<TaskNews> submit(int tenant, Task task) {
        return clients.get(tenant).submit(task);
    }

    /** Requests a task and passes its result to the receiver on the event loop, if there is one. */
    void submit(int tenant, Task task, Consumer<TaskNews> receiver) {
        submit(tenant, task)
                .whenCompleteAsync(
                        (result, error) -> {
                            if (error == null) {
                                receiver.accept(result);
                            }
                        },
                        loop);
    }

    /** The event loop of the clients. */
    EventLoop loop() {
        return loop;
    }

    /** Runs an action on the event loop and waits for it. */
    void runOnLoop(Runnable action) {
        loop.submit(action).syncUninterruptibly();
    }

    /** Computes a value on the event loop and waits for it. */
    <T> T callOnLoop(Callable<T> call) {
        return loop.submit(call).syncUninterruptibly().getNow();
    }

    /** Runs an action on the event loop after a delay. */
    void schedule(Duration delay, Runnable action) {
        loop.schedule(action, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        clients.forEach(TaskClient::close);
        nodes.close();
        placer.close();
        loops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .syncUninterruptibly();
    }
}
