package thornferry.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import thornferry.protocol.v1.Answer.Kind;
import thornferry.protocol.v1.Answer.Reason;
import thornferry.protocol.v1.Offer;
import thornferry.protocol.v1.Task;

/** Tests an emulated node in virtual time. */
class NodeEmulatorTest {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final ZoneIdempotencyKeys keys = new ZoneIdempotencyKeys();
    private final List<AttemptReport> reports = new ArrayList<>();
    private long now = 100 * MICROS_PER_SECOND;

    private static NodeBehavior behavior(double usageFraction) {
        return new NodeBehavior(
                5 * MICROS_PER_MILLI,
                5 * MICROS_PER_MILLI,
                3,
                2,
                100 * MICROS_PER_MILLI,
                6,
                2,
                10 * MICROS_PER_SECOND,
                0.25,
                2,
                3 * MICROS_PER_SECOND,
                5,
                usageFraction,
                usageFraction,
                20 * MICROS_PER_SECOND,
                0,
                Map.of("keyed", 5 * MICROS_PER_SECOND));
    }

    private NodeEmulator node(boolean warm) {
        return new NodeEmulator(
                new NodeShape("n", "std", "a", 1, 10, 20), behavior(0.9), keys, 1, now, 5, warm);
    }

    private static Offer offer(String attempt, String taskClass, double cores, double memory) {
        return Offer.newBuilder()
                .setAttempt(attempt)
                .setPlacer("p")
                .setOwner("o")
                .setTask(
                        Task.newBuilder()
                                .setId(attempt)
                                .setTaskClass(taskClass)
                                .setService("s")
                                .setKey("k")
                                .setCores(cores)
                                .setMemory(memory)
                                .setRunsForMs(1_000))
                .build();
    }

    private void advance(NodeEmulator node, long micros) {
        for (long end = now + micros; now < end; ) {
            now = Math.min(end, Math.max(now + 1, node.nextTick()));
            node.tick(now, reports::add);
        }
    }

    private List<Kind> kinds(String attempt) {
        return reports.stream()
                .filter(report -> report.attempt().equals(attempt) && !report.silent())
                .map(AttemptReport::kind)
                .toList();
    }

    private Reason rejectionReason(String attempt) {
        return reports.stream()
                .filter(report -> report.attempt().equals(attempt) && report.kind() == Kind.REFUSED)
                .map(AttemptReport::reason)
                .findFirst()
                .orElse(null);
    }

    @Test
    void acceptsRunsAndEndsTaskOnceDespiteRepeatedOffer() {
        NodeEmulator node = node(true);
        node.offer(now, offer("a", "safe", 1, 1), reports::add);
        node.offer(now, offer("a", "safe", 1, 1), reports::add); // repeated
        advance(node, 10 * MICROS_PER_SECOND);
        assertThat(kinds("a")).containsExactly(Kind.ACCEPTED, Kind.RUNS, Kind.ENDED);
        assertThat(node.load().getCoresFree()).isEqualTo(10);
    }

    @Test
    void rejectionOfTaskThatDoesNotFitNamesTheResource() {
        NodeEmulator node = node(true);
        node.offer(now, offer("a", "safe", 11, 1), reports::add);
        node.offer(now, offer("b", "safe", 1, 21), reports::add);
        advance(node, MICROS_PER_SECOND);
        assertThat(rejectionReason("a")).isEqualTo(Reason.NO_CORES);
        assertThat(rejectionReason("b")).isEqualTo(Reason.NO_MEMORY);
    }

    @Test
    void decidesOneOfferAtATimeAndRejectsOffersBeyondQueueLength() {
        NodeEmulator node = node(true);
        for (int i = 0; i < 5; i++) {
            node.offer(now, offer("a" + i, "safe", 1, 1), reports::add);
        }
        assertThat(rejectionReason("a3")).isEqualTo(Reason.OFFERS_WAIT);
        advance(node, 6 * MICROS_PER_MILLI);
        assertThat(kinds("a0")).startsWith(Kind.ACCEPTED);
        assertThat(kinds("a1")).isEmpty();
    }

    @Test
    void startsSlowerWithoutCachedProgram() {
        NodeEmulator node = node(true);
        node.offer(now, offer("a", "safe", 1, 1), reports::add);
        advance(node, 500 * MICROS_PER_MILLI);
        assertThat(kinds("a")).doesNotContain(Kind.RUNS);
        advance(node, 200 * MICROS_PER_MILLI);
        node.offer(now, offer("b", "safe", 1, 1), reports::add);
        advance(node, 200 * MICROS_PER_MILLI);
        assertThat(kinds("b")).contains(Kind.RUNS);
    }

    @Test
    void rejectsClaimedKeyInTheZoneWithinItsWindow() {
        NodeEmulator first = node(true);
        NodeEmulator second = node(true);
        first.offer(now, offer("a", "keyed", 1, 1), reports::add);
        advance(first, MICROS_PER_SECOND);
        second.offer(now, offer("b", "keyed", 1, 1), reports::add);
        advance(second, MICROS_PER_SECOND);
        assertThat(rejectionReason("b")).isEqualTo(Reason.KEY_HELD);
        advance(second, 5 * MICROS_PER_SECOND);
        second.offer(now, offer("c", "keyed", 1, 1), reports::add);
        advance(second, MICROS_PER_SECOND);
        assertThat(kinds("c")).contains(Kind.ACCEPTED);
    }

    @Test
    void releasesKeyOfAttemptThatNeverRan() {
        NodeEmulator node = node(true);
        node.offer(now, offer("x", "safe", 1, 1), reports::add);
        node.offer(now, offer("y", "safe", 1, 1), reports::add);
        node.offer(now, offer("a", "keyed", 1, 1), reports::add);
        advance(node, 16 * MICROS_PER_MILLI); // "a" is accepted but waits for a start slot, as "x"
        // and "y" occupy both
        node.cancel(now, "p", "a", reports::add);
        assertThat(reports.get(reports.size() - 1))
                .returns("a", AttemptReport::attempt)
                .returns(Kind.WITHDRAWN, AttemptReport::kind)
                .returns(false, AttemptReport::ran);
        node.offer(now, offer("b", "keyed", 1, 1), reports::add);
        advance(node, MICROS_PER_SECOND);
        assertThat(kinds("b")).contains(Kind.ACCEPTED);
    }

    @Test
    void startsSlowerInSlowStartAndCrashesWhenOverloaded() {
        NodeEmulator node = node(false);
        node.offer(now, offer("a", "safe", 1, 1), reports::add);
        advance(node, 2 * MICROS_PER_SECOND);
        assertThat(kinds("a")).doesNotContain(Kind.RUNS);
        for (int i = 0; i < 20; i++) {
            node.offer(now, offer("b" + i, "safe", 0.1, 0.1), reports::add);
        }
        assertThat(node.isCrashed()).isTrue();
        int reportsBefore = reports.size();
        advance(node, 20 * MICROS_PER_SECOND);
        assertThat(reports).hasSize(reportsBefore); // a crashed node reports nothing
    }

    @Test
    void removesAllAttemptsAndRejectsOffersWhileDraining() {
        NodeEmulator node = node(true);
        node.offer(now, offer("a", "safe", 1, 1), reports::add);
        advance(node, MICROS_PER_SECOND);
        node.drain(now, true, reports::add);
        node.offer(now, offer("b", "safe", 1, 1), reports::add);
        assertThat(kinds("a")).endsWith(Kind.SENT_AWAY);
        assertThat(rejectionReason("b")).isEqualTo(Reason.DRAINING);
        assertThat(node.attemptCount()).isZero();
    }

    @Test
    void evictsNewestTaskWhenOutOfMemory() {
        NodeEmulator node =
                new NodeEmulator(
                        new NodeShape("n", "std", "a", 1, 10, 20),
                        behavior(1.5),
                        keys,
                        1,
                        now,
                        5,
                        true);
        node.offer(now, offer("a", "safe", 1, 10), reports::add);
        advance(node, 700 * MICROS_PER_MILLI);
        node.offer(now, offer("b", "safe", 1, 9), reports::add);
        advance(node, 200 * MICROS_PER_MILLI);
        assertThat(kinds("b")).containsExactly(Kind.ACCEPTED, Kind.RUNS, Kind.EVICTED);
        assertThat(kinds("a")).doesNotContain(Kind.EVICTED);
    }

    @Test
    void runsTasksOfMutedClassWithoutReports() {
        NodeEmulator node = node(true);
        node.mute("safe", now + MICROS_PER_SECOND);
        node.offer(now, offer("a", "safe", 1, 1), reports::add);
        node.offer(now, offer("b", "other", 1, 1), reports::add);
        advance(node, MICROS_PER_SECOND);
        assertThat(kinds("a")).isEmpty();
        assertThat(kinds("b")).contains(Kind.RUNS);
        assertThat(node.inventory("p")).hasSize(2);
    }
}
