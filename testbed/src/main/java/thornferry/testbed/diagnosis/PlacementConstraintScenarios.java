package thornferry.testbed.diagnosis;

import java.util.Optional;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Reason.Kind;
import thornferry.testbed.diagnosis.ScenarioSite.TaskClass;

/** Scenarios in which an idempotency key or a spread rule excludes the only node. */
final class PlacementConstraintScenarios {
    private PlacementConstraintScenarios() {}

    /** A task of the same owner holds the key on the only node, until another node registers. */
    static PendingReasonScenario keyHeldByOwnTask() {
        return new PendingReasonScenario(
                "the key is held by a task of one's own",
                PendingReasonScenario.NO_EXTRA_SETTINGS,
                cluster -> {
                    cluster.startNode("n1");
                    cluster.place("mine", TaskClass.IDEMPOTENT_WITH_KEY, 1);
                    cluster.node("n1").respondWith(OfferResponse.reject(Answer.Reason.KEY_HELD));
                    cluster.submitObserved(TaskClass.IDEMPOTENT_WITH_KEY, 1);
                },
                new ExpectedReason(Kind.KEY_HELD, "mine"),
                Optional.of(cluster -> cluster.startNode("n2")));
    }

    /** A task of another owner, which the status must not name, holds the key on the only node. */
    static PendingReasonScenario keyHeldByOtherOwnersTask() {
        return new PendingReasonScenario(
                "the key is held by another's task",
                PendingReasonScenario.NO_EXTRA_SETTINGS,
                cluster -> {
                    cluster.startNode("n1");
                    cluster.placeAsOtherOwner(TaskClass.IDEMPOTENT_WITH_KEY, 1);
                    cluster.node("n1").respondWith(OfferResponse.reject(Answer.Reason.KEY_HELD));
                    cluster.submitObserved(TaskClass.IDEMPOTENT_WITH_KEY, 1);
                },
                new ExpectedReason(Kind.KEY_HELD, "key held"),
                Optional.of(cluster -> cluster.startNode("n2")));
    }

    /** The only node runs as many tasks of the service as the spread rule allows. */
    static PendingReasonScenario spread() {
        return new PendingReasonScenario(
                "one of its service on every node",
                PendingReasonScenario.NO_EXTRA_SETTINGS,
                cluster -> {
                    cluster.startNode("n1");
                    cluster.place("first", TaskClass.SPREAD, 1);
                    cluster.submitObserved(TaskClass.SPREAD, 1);
                },
                ExpectedReason.ofKind(Kind.SPREAD),
                Optional.of(cluster -> cluster.node("n1").endTask("first")));
    }
}
