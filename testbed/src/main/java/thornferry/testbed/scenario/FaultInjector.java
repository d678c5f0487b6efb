package thornferry.testbed.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.agent.NodeAgent;
import thornferry.testbed.capture.RecordingProxy;

/** Injects the faults of a scenario at their times, from a single thread. */
final class FaultInjector {
    private static final Logger LOG = LoggerFactory.getLogger(FaultInjector.class);
    private static final long STOP_TIMEOUT_SECONDS = 10;

    private final ScenarioCluster cluster;
    private final ScenarioClients clients;
    private final DrainOperator drainOperator;
    private final SplittableRandom random;
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final ProcessRestarter restarter = new ProcessRestarter(scheduler);

    /**
     * @param seed of all draws: which nodes, processes and connections, and for how long
     */
    FaultInjector(
            ScenarioCluster cluster,
            ScenarioClients clients,
            DrainOperator drainOperator,
            long seed) {
        this.cluster = cluster;
        this.clients = clients;
        this.drainOperator = drainOperator;
        this.random = new SplittableRandom(seed);
    }

    /** Schedules all repetitions of faults, relative to now. */
    void schedule(List<Fault> faults) {
        for (Fault fault : faults) {
            for (int repetition = 0; repetition < fault.repetitions(); repetition++) {
                runAfter(fault.delayMillis(repetition), () -> injectOrLog(fault));
            }
        }
    }

    /** Injects no more faults, and waits for the restarts of killed processes that have begun. */
    void stop() throws InterruptedException {
        scheduler.shutdownNow();
        scheduler.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        restarter.awaitRestarts();
    }

    private void runAfter(long delayMillis, Runnable action) {
        scheduler.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void injectOrLog(Fault fault) {
        try {
            // drawn for every kind, so that all faults draw alike from the seed
            List<NodeAgent> nodes = drawNodes(fault);
            LOG.atInfo()
                    .addKeyValue("kind", fault.kind())
                    .addKeyValue("fraction", fault.fraction())
                    .addKeyValue("durationMillis", fault.durationMillis())
                    .addKeyValue("nodes", nodes.size())
                    .log("injecting a fault");
            inject(fault, nodes);
        } catch (RuntimeException e) {
            LOG.atError()
                    .addKeyValue("kind", fault.kind())
                    .setCause(e)
                    .log("cannot inject a fault");
        }
    }

    /**
     * Exactly the fault's fraction of the nodes, rounded up: a fault without an affected node tests
     * nothing.
     */
    private List<NodeAgent> drawNodes(Fault fault) {
        List<NodeAgent> nodes = new ArrayList<>(cluster.nodes());
        nodes.removeIf(node -> !fault.affectsZone(node.shape().zone()));
        int count = (int) Math.ceil(fault.fraction() * nodes.size());
        for (int i = 0; i < count; i++) {
            Collections.swap(nodes, i, i + random.nextInt(nodes.size() - i));
        }
        return new ArrayList<>(nodes.subList(0, count));
    }

    private void inject(Fault fault, List<NodeAgent> nodes) {
        double fraction = fault.fraction();
        long millis = fault.durationMillis();
        switch (fault.kind()) {
            case NODE_CRASH -> nodes.forEach(node -> node.crash(millis));
            case NODE_PAUSE -> nodes.forEach(node -> node.pause(millis));
            case CLASS_MUTE -> muteClass(fault, nodes);
            case REPORT_LOSS -> loseReports(fault, nodes);
            case PREEMPTION -> nodes.forEach(node -> node.preempt((int) fault.factor()));
            case NODE_DRAIN -> drain(fault, nodes);
            case PLACER_PAUSE ->
                    cluster.placers().forEach(placer -> placer.suspendFor(millis, scheduler));
            case PLACER_KILL -> killPlacer(fault);
            case NODE_PROCESS_KILL -> killNodeProcess(fault);
            case NODE_AND_PLACER_KILL -> {
                killNodeProcess(fault);
                killPlacer(fault);
            }
            case TRAFFIC_SURGE -> surge(fault);
            case SERVICE_RESTART -> clients.restartServices(fraction);
            case CLIENT_DISCONNECT -> clients.disconnectFraction(fraction, millis);
            case CONNECTION_CUT -> forEachProxy(proxy -> proxy.cut(fraction, random));
            case HALF_OPEN_CONNECTION -> forEachProxy(proxy -> proxy.halfOpen(fraction, random));
            case SLOW_READER -> forEachProxy(proxy -> proxy.slowReader(fraction, millis, random));
            default -> throw new IllegalStateException("no injection of " + fault.kind());
        }
    }

    private static void muteClass(Fault fault, List<NodeAgent> nodes) {
        String taskClass = fault.taskClass().orElseThrow();
        nodes.forEach(node -> node.mute(taskClass, fault.durationMillis()));
    }

    private void loseReports(Fault fault, List<NodeAgent> nodes) {
        nodes.forEach(node -> node.dropAnswers(fault.factor()));
        runAfter(fault.durationMillis(), () -> nodes.forEach(node -> node.dropAnswers(0)));
    }

    private void drain(Fault fault, List<NodeAgent> nodes) {
        List<String> names = nodes.stream().map(node -> node.shape().name()).toList();
        names.forEach(drainOperator::startDrain);
        runAfter(fault.durationMillis(), () -> names.forEach(drainOperator::endDrain));
    }

    private void surge(Fault fault) {
        clients.startSurge(fault.factor());
        runAfter(fault.durationMillis(), clients::endSurge);
    }

    private void killPlacer(Fault fault) {
        kill(cluster.placers(), fault);
    }

    private void killNodeProcess(Fault fault) {
        kill(cluster.nodeProcesses(), fault);
    }

    /** Kills a random one of some processes, and restarts it after a random duration. */
    private void kill(List<? extends RestartableProcess> processes, Fault fault) {
        RestartableProcess process = processes.get(random.nextInt(processes.size()));
        restarter.killAndRestart(process, fault.drawDurationMillis(random));
    }

    private void forEachProxy(Consumer<RecordingProxy> action) {
        cluster.placers().forEach(placer -> action.accept(placer.proxy()));
    }
}
