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

/** An emulated node in virtual time. */
class NodeEmulatorTest {
    private static final long MILLI_MICROS = 1_000;
    private static final long SECOND_MICROS = 1_000_000;

    private final ZoneIdempotencyKeys keys = new ZoneIdempotencyKeys();
    private final List<AttemptReport> reports = new ArrayList<>();
    private long now = 100 * SECOND_MICROS;

    private static NodeBehavior behavior(double usageFraction) {
        return new NodeBehavior(
                5 * MILLI_MICROS,
                5 * MILLI_MICROS,
                3,
                2,
                100 * MILLI_MICROS,
                6,
                2,
                10 * SECOND_MICROS,
                0.25,
                2,
                3 * SECOND_MICROS,
                5,
                usageFraction,
                usageFraction,
                20 * SECOND_MICROS,
                0,
                Map.of("keyed", 5 * SECOND_MICROS));
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

    private Reason rejection(String attempt) {
        return reports.stream()
                .filter(report -> report.attempt().equals(attempt) && report.kind() == Kind.REFUSED)
                .map(AttemptReport::reason)
                .findFirst()
                .orElse(null);
    }

    @Test
    void acceptsRunsAndEndsFittingTaskOnce() {
        NodeEmulator node = node(true);
        node.offer(now, offer("a", "safe", 1, 1), reports::add);
        node.offer(now, offer("a", "safe", 1, 1), reports::add); // a repeated offer is ignored
        advance(node, 10 * SECOND_MICROS);
        assertThat(kinds("a")).containsExactly(Kind.ACCEPTED, Kind.RUNS, Kind.ENDED);
        assertThat(node.load().getCoresFree()).isEqualTo(10);
    }

    @Test
    void rejectsTaskThatDoesNotFitNamingTheResource() {
        NodeEmulator node = node(true);
        node.offer(now, offer("a", "safe", 11, 1), reports::add);
        node.offer(now, offer("b", "safe", 1, 21), reports::add);
        advance(node, SECOND_MICROS);
        assertThat(rejection("a")).isEqualTo(Reason.NO_CORES);
        assertThat(rejection("b")).isEqualTo(Reason.NO_MEMORY);
    }

    @Test
    void decidesOneOfferAtATimeAndLimitsItsQueue() {
        NodeEmulator node = node(true);
        for (int i = 0; i < 5; i++) {
            node.offer(now, offer("a" + i, "safe", 1, 1), reports::add);
        }
        assertThat(rejection("a3")).isEqualTo(Reason.OFFERS_WAIT);
        advance(node, 6 * MILLI_MICROS);
        assertThat(kinds("a0")).startsWith(Kind.ACCEPTED);
        assertThat(kinds("a1")).isEmpty();
    }

    @Test
    void startsSlowerWithoutCachedProgram() {
        NodeEmulator node = node(true);
        node.offer(now, offer("a", "safe", 1, 1), reports::add);
        advance(node, 500 * MILLI_MICROS);
        assertThat(kinds("a")).doesNotContain(Kind.RUNS);
        advance(node, 200 * MILLI_MICROS);
        node.offer(now, offer("b", "safe", 1, 1), reports::add);
        advance(node, 200 * MILLI_MICROS);
        assertThat(kinds("b")).contains(Kind.RUNS);
    }

    @Test
    void rejectsClaimedKeyInTheZoneWithinItsWindow() {
        NodeEmulator first = node(true);
        NodeEmulator second = node(true);
        first.offer(now, offer("a", "keyed", 1, 1), reports::add);
        advance(first, SECOND_MICROS);
        second.offer(now, offer("b", "keyed", 1, 1), reports::add);
        advance(second, SECOND_MICROS);
        assertThat(rejection("b")).isEqualTo(Reason.KEY_HELD);
        advance(second, 5 * SECOND_MICROS);
        second.offer(now, offer("c", "keyed", 1, 1), reports::add);
        advance(second, SECOND_MICROS);
        assertThat(kinds("c")).contains(Kind.ACCEPTED);
    }

    @Test
    void releasesKeyOfAttemptThatNeverRan() {
        NodeEmulator node = node(true);
        node.offer(now, offer("x", "safe", 1, 1), reports::add);
        node.offer(now, offer("y", "safe", 1, 1), reports::add);
        node.offer(now, offer("a", "keyed", 1, 1), reports::add);
        advance(node, 16 * MILLI_MICROS); // accepted, but waits for one of two start slots
        node.cancel(now, "p", "a", reports::add);
        assertThat(reports.get(reports.size() - 1))
                .returns("a", AttemptReport::attempt)
                .returns(Kind.WITHDRAWN, AttemptReport::kind)
                .returns(false, AttemptReport::ran);
        node.offer(now, offer("b", "keyed", 1, 1), reports::add);
        advance(node, SECOND_MICROS);
        assertThat(kinds("b")).contains(Kind.ACCEPTED);
    }

    @Test
    void startsSlowerInSlowStartAndCrashesWhenOverloaded() {
        NodeEmulator node = node(false);
        node.offer(now, offer("a", "safe", 1, 1), reports::add);
        advance(node, 2 * SECOND_MICROS);
        assertThat(kinds("a")).doesNotContain(Kind.RUNS);
        for (int i = 0; i < 20; i++) {
            node.offer(now, offer("b" + i, "safe", 0.1, 0.1), reports::add);
        }
        assertThat(node.isCrashed()).isTrue();
        int reportsBefore = reports.size();
        advance(node, 20 * SECOND_MICROS);
        assertThat(reports).hasSize(reportsBefore); // this incarnation does nothing more
    }

    @Test
    void removesAllAttemptsAndRejectsOffersWhileDraining() {
        NodeEmulator node = node(true);
        node.offer(now, offer("a", "safe", 1, 1), reports::add);
        advance(node, SECOND_MICROS);
        node.drain(now, true, reports::add);
        node.offer(now, offer("b", "safe", 1, 1), reports::add);
        assertThat(kinds("a")).endsWith(Kind.SENT_AWAY);
        assertThat(rejection("b")).isEqualTo(Reason.DRAINING);
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
        advance(node, 700 * MILLI_MICROS);
        node.offer(now, offer("b", "safe", 1, 9), reports::add);
        advance(node, 200 * MILLI_MICROS);
        assertThat(kinds("b")).containsExactly(Kind.ACCEPTED, Kind.RUNS, Kind.EVICTED);
        assertThat(kinds("a")).doesNotContain(Kind.EVICTED);
    }

    @Test
    void acceptsMutedClassWithoutReports() {
        NodeEmulator node = node(true);
        node.mute("safe", now + SECOND_MICROS);
        node.offer(now, offer("a", "safe", 1, 1), reports::add);
        node.offer(now, offer("b", "other", 1, 1), reports::add);
        advance(node, SECOND_MICROS);
        assertThat(kinds("a")).isEmpty();
        assertThat(kinds("b")).contains(Kind.RUNS);
        assertThat(node.inventory("p")).hasSize(2);
    }
}
