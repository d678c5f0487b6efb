package thornferry.placer;

import static org.assertj.core.api.Assertions.assertThat;
import static thornferry.placer.SiteFixtures.SECOND;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.diagnosis.PendingReasons.Kind;
import thornferry.decisions.requests.TaskSpec;
import thornferry.placer.PendingReasonsSimulation.Request;

/** A test oracle that checks each pending reason against the true state of the nodes. */
final class PendingReasonsOracle {
    private static final long MAX_EJECTION_MICROS = 30 * SECOND;
    private static final long MAX_WARM_UP_MICROS = 10 * SECOND;

    private final Map<Kind, Integer> checksByKind = new EnumMap<>(Kind.class);

    /** Returns the kinds of reasons that were checked so far. */
    Set<Kind> checkedKinds() {
        return checksByKind.keySet();
    }

    /** Asserts that each request without a result has a reason and that the reason is true. */
    void check(PendingReasonsSimulation simulation) {
        simulation.requests().values().forEach(request -> check(simulation, request));
    }

    private void check(PendingReasonsSimulation simulation, Request request) {
        PendingReasons.Explanation explanation =
                simulation
                        .core()
                        .reasons()
                        .explain(simulation.now(), request.owner(), request.spec().id());
        String context =
                simulation.nodes()
                        + request.key()
                        + " "
                        + request.spec()
                        + " "
                        + explanation
                        + " at "
                        + simulation.now();
        if (simulation.lastResults().containsKey(request.key())) {
            assertThat(explanation.reason())
                    .as("the request has a result, but still a pending reason: " + context)
                    .isNull();
            return;
        }
        assertThat(explanation.state()).as(context).isEqualTo(PendingReasons.State.WAITING);
        assertThat(explanation.reason())
                .as("the request waits without a pending reason: " + context)
                .isNotNull();
        Kind kind = explanation.reason().kind();
        checksByKind.merge(kind, 1, Integer::sum);
        assertThat(isReasonTrue(simulation, request, kind))
                .as("the pending reason is not true: " + context)
                .isTrue();
    }

    private static boolean isReasonTrue(
            PendingReasonsSimulation simulation, Request request, Kind kind) {
        TaskSpec spec = request.spec();
        long now = simulation.now();
        boolean fits = spec.cores() <= RandomizedNode.CORES;
        Predicate<Predicate<RandomizedNode>> anyNode =
                condition -> simulation.nodes().stream().anyMatch(condition);
        return switch (kind) {
            case NO_MACHINES -> !anyNode.test(node -> node.knownToPlacer);
            case UNSATISFIABLE -> !fits && anyNode.test(node -> node.knownToPlacer);
            case NO_CAPACITY ->
                    fits
                            && anyNode.test(
                                    node ->
                                            node.isReady()
                                                    && node.minAssumedFreeCores() < spec.cores());
            case REJECTED ->
                    (fits && anyNode.test(node -> node.isReady() && node.rejectedRecently()))
                            || simulation.wasRejected(request);
            case MACHINES_EJECTED ->
                    fits
                            && anyNode.test(
                                    node ->
                                            node.knownToPlacer
                                                    && node.faultAtMicros
                                                            > now - MAX_EJECTION_MICROS);
            case KEY_HELD ->
                    spec.taskClass().equals(PendingReasonsSimulation.KEYED)
                            && simulation.wasRejectedForKey(request);
            case DRAINING -> fits && anyNode.test(node -> node.knownToPlacer && node.draining);
            case SPREAD_LIMIT ->
                    spec.taskClass().equals(PendingReasonsSimulation.SPREAD)
                            && anyNode.test(node -> node.hasService(spec.service(), now));
            case WARMING_UP ->
                    anyNode.test(
                            node ->
                                    node.isReady()
                                            && node.faultAtMicros > now - MAX_WARM_UP_MICROS);
            case OWNER_QUOTA ->
                    simulation.core().admissionQueue().ownerUsage(request.owner()).tasks()
                            >= PendingReasonsSimulation.MAX_TASKS_PER_OWNER;
            case INDETERMINATE ->
                    !spec.taskClass().equals(PendingReasonsSimulation.SAFE)
                            && anyNode.test(
                                    node ->
                                            !node.isConnected()
                                                    && node.hasUnansweredAttempt(
                                                            request.owner(), spec));
            case AWAITING_RESPONSE ->
                    anyNode.test(
                            node ->
                                    node.isConnected()
                                            && node.hasUnansweredAttempt(request.owner(), spec));
            // the dispatch window never fills in the simulation, so no request waits for its turn
            // in the queue or for the share of its tenant
            default -> false;
        };
    }
}
