package thornferry.decisions.diagnosis;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import thornferry.decisions.admission.QueuedRequest;
import thornferry.decisions.diagnosis.PendingReasons.Evidence;
import thornferry.decisions.diagnosis.PendingReasons.Kind;
import thornferry.decisions.diagnosis.PendingReasons.State;
import thornferry.decisions.membership.ClusterView;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.FilterReason;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineKind;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.Pending;

/** Compares texts as a whole, because they are part of the wire protocol. */
class ReasonClassifierTest {
    private static final String REQUEST = "r1";
    private static final int MAX_HISTORY = 4;

    private final ClusterView cluster =
            new ClusterView(
                    List.of(new MachineKind("std", 16, 16), new MachineKind("gpu", 16, 16)));
    private final IdempotencyKeyIndex keyIndex = new IdempotencyKeyIndex();
    private final ReasonClassifier classifier =
            new ReasonClassifier(cluster, new MachineMatcher(Map.of("training", "gpu")), keyIndex);
    private final TaskRecord task = task("t1", "web");

    private static TaskRecord task(String name, String taskClass) {
        TaskRecord record = new TaskRecord(new TaskKey("o", name), 0, MAX_HISTORY);
        record.submit(0, new TaskSubmission("o", "t", name, "key", true, false, ""));
        record.enterQueue(
                new QueuedRequest(REQUEST, "o", "t", taskClass, 1, 4, 4, 0, 0, false, ""));
        return record;
    }

    private void listMachine(String machine, String kind, MachineState state) {
        cluster.update(List.of(new MachineEntry(machine, "a", kind, 0, state, 16, 16, 1, 0)));
    }

    private static Pending report(Map<FilterReason, Integer> machinesByReason) {
        return report(machinesByReason, "", 0, 0);
    }

    private static Pending report(
            Map<FilterReason, Integer> machinesByReason,
            String closestMachine,
            double missingCores,
            double missingMemory) {
        List<Integer> counts =
                Arrays.stream(FilterReason.values())
                        .map(reason -> machinesByReason.getOrDefault(reason, 0))
                        .toList();
        return new Pending(REQUEST, counts, closestMachine, missingCores, missingMemory);
    }

    private static Pending emptyReport() {
        return report(Map.of());
    }

    private Diagnosis classifyAfterFailedAttempt(
            AttemptOutcome outcome, RejectionReason rejection) {
        if (outcome == AttemptOutcome.REJECTED) {
            task.rejectOffer("n1", rejection);
        }
        task.endAttempt("n1", outcome);
        return classifier.classify(task, report(Map.of(FilterReason.PREVIOUS_ATTEMPT_FAILED, 1)));
    }

    @Test
    void reportsEmptyClusterAsNoMachines() {
        assertThat(classifier.classify(task, emptyReport()))
                .isEqualTo(Diagnosis.withoutEvidence(Kind.NO_MACHINES, "a node connects"));
    }

    @Test
    void reportsMissingMachineKindAsUnsatisfiable() {
        listMachine("n1", "std", MachineState.GONE);
        assertThat(classifier.classify(task("t2", "training"), emptyReport()))
                .isEqualTo(
                        Diagnosis.withoutEvidence(
                                Kind.UNSATISFIABLE,
                                "a node that is large enough, and of the kind it needs, joins"));
    }

    @Test
    void reportsShortfallOfClosestMachineWithoutNegligibleAmounts() {
        Pending report = report(Map.of(FilterReason.INSUFFICIENT_CORES, 2), "n1", 1.5, 0.01);
        assertThat(classifier.classify(task, report))
                .isEqualTo(
                        new Diagnosis(
                                Kind.NO_CAPACITY,
                                List.of(
                                        Evidence.ofMachines("not enough cores", 2),
                                        Evidence.ofShortfall("closest, lacks cores", "n1", 1.5)),
                                "node n1 frees 1.50 cores, or another as much"));
    }

    @Test
    void choosesKindThatExcludesMostMachinesOfSufficientSize() {
        Pending report =
                report(
                        Map.of(
                                FilterReason.INSUFFICIENT_CORES, 1,
                                FilterReason.WARMING_UP, 2,
                                FilterReason.MACHINE_TOO_SMALL, 5));
        assertThat(classifier.classify(task, report))
                .isEqualTo(
                        new Diagnosis(
                                Kind.WARMING_UP,
                                List.of(
                                        Evidence.ofMachines("too small for it", 5),
                                        Evidence.ofMachines("not enough cores", 1),
                                        Evidence.ofMachines(
                                                "just started and given all the starts it bears",
                                                2)),
                                "the nodes have been up for longer"));
    }

    @Test
    void choosesKindCountedFirstAmongEquals() {
        Pending report =
                report(Map.of(FilterReason.QUEUE_FULL, 1, FilterReason.INSUFFICIENT_MEMORY, 1));
        assertThat(classifier.classify(task, report).kind()).isEqualTo(Kind.NO_CAPACITY);
    }

    @Test
    void reportsDrainingAndDisconnectedMachines() {
        listMachine("n1", "std", MachineState.DRAINING);
        listMachine("n2", "std", MachineState.GONE);
        assertThat(classifier.classify(task, emptyReport()))
                .isEqualTo(
                        new Diagnosis(
                                Kind.DRAINING,
                                List.of(
                                        Evidence.ofMachine("drains", "n1"),
                                        Evidence.ofMachine("without a connection", "n2")),
                                "the drain of node n1 ends, or another node has room"));
        listMachine("n3", "std", MachineState.GONE);
        assertThat(classifier.classify(task, emptyReport()))
                .extracting(Diagnosis::kind, Diagnosis::endsWhen)
                .containsExactly(Kind.MACHINES_EJECTED, "node n2 connects, or one of 1 more");
    }

    @Test
    void namesRejectingMachineOnlyIfAllRejectionsHaveSameReason() {
        listMachine("n1", "std", MachineState.READY);
        listMachine("n2", "std", MachineState.READY);
        cluster.recordRejection("n1", RejectionReason.INSUFFICIENT_CORES);
        Pending report = report(Map.of(FilterReason.RECENTLY_REJECTED, 2));
        assertThat(classifier.classify(task, report).evidence())
                .containsExactly(Evidence.ofMachine("refused: not enough cores", "n1"));
        cluster.recordRejection("n2", RejectionReason.INSUFFICIENT_MEMORY);
        assertThat(classifier.classify(task, report).evidence())
                .containsExactly(
                        Evidence.ofMachines("refused: not enough cores", 1),
                        Evidence.ofMachines("refused: not enough memory", 1));
    }

    @Test
    void classifiesUnansweredAttemptAsEjectedMachine() {
        assertThat(classifyAfterFailedAttempt(AttemptOutcome.TIMED_OUT, RejectionReason.NONE))
                .isEqualTo(
                        Diagnosis.of(
                                Kind.MACHINES_EJECTED,
                                Evidence.ofMachine(
                                        "left the last offer unanswered, or broke off", "n1"),
                                "a silent node answers again"));
    }

    @Test
    void classifiesRejectionForHeldKey() {
        assertThat(classifyAfterFailedAttempt(AttemptOutcome.REJECTED, RejectionReason.KEY_HELD))
                .isEqualTo(
                        Diagnosis.of(
                                Kind.KEY_HELD,
                                Evidence.ofMachines("key held", 1),
                                "the copy ends and the key's window is over"));
    }

    @Test
    void namesOwnTaskWithSameKey() {
        TaskRecord placed = task("t2", "web");
        placed.complete(1, State.PLACED, "n1");
        keyIndex.add(placed);
        assertThat(
                        classifyAfterFailedAttempt(
                                        AttemptOutcome.REJECTED, RejectionReason.UNAVAILABLE)
                                .evidence())
                .containsExactly(Evidence.ofMachine("key held by a task of yours", "t2"));
    }

    @Test
    void classifiesRejectionForDrainingUntilMachineAcceptsAgain() {
        listMachine("n1", "std", MachineState.READY);
        cluster.recordRejection("n1", RejectionReason.DRAINING);
        assertThat(classifyAfterFailedAttempt(AttemptOutcome.REJECTED, RejectionReason.DRAINING))
                .isEqualTo(
                        Diagnosis.of(
                                Kind.DRAINING,
                                Evidence.ofMachine("refused: it drains", "n1"),
                                "the drain ends, or another node has room"));
        cluster.recordAcceptance("n1");
        assertThat(classifyAfterFailedAttempt(AttemptOutcome.REJECTED, RejectionReason.DRAINING))
                .isEqualTo(
                        Diagnosis.of(
                                Kind.REJECTED,
                                Evidence.ofMachine(
                                        "refused the last offer and gets it no second time in a"
                                                + " row",
                                        "n1"),
                                "a node that refused reports more room, or another has room"));
    }
}
