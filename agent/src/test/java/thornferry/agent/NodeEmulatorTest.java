package thornferry.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import thornferry.agent.NodeEmulator.AttemptReport;
import thornferry.protocol.v1.Answer.Kind;
import thornferry.protocol.v1.Answer.Reason;
import thornferry.protocol.v1.Offer;
import thornferry.protocol.v1.Task;

/** A node in virtual time. */
class NodeEmulatorTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;

    private final ZoneIdempotencyKeys keys = new ZoneIdempotencyKeys();
    private final List<AttemptReport> said = new ArrayList<>();
    private long now = 100 * SECOND;

    private static NodeBehavior behaviour(double usesMost) {
        return new NodeBehavior(
                5 * MS,
                5 * MS,
                3,
                2,
                100 * MS,
                6,
                2,
                10 * SECOND,
                0.25,
                2,
                3 * SECOND,
                5,
                usesMost,
                usesMost,
                20 * SECOND,
                0,
                Map.of("keyed", 5 * SECOND));
    }

    private NodeEmulator node(boolean warm) {
        return new NodeEmulator(
                new NodeShape("n", "std", "a", 1, 10, 20), behaviour(0.9), keys, 1, now, 5, warm);
    }

    private static Offer offer(String attempt, String cls, double cores, double memory) {
        return Offer.newBuilder()
                .setAttempt(attempt)
                .setPlacer("p")
                .setOwner("o")
                .setTask(
                        Task.newBuilder()
                                .setId(attempt)
                                .setTaskClass(cls)
                                .setService("s")
                                .setKey("k")
                                .setCores(cores)
                                .setMemory(memory)
                                .setRunsForMs(1_000))
                .build();
    }

    private void passes(NodeEmulator node, long time) {
        for (long end = now + time; now < end; ) {
            now = Math.min(end, Math.max(now + 1, node.next()));
            node.tick(now, said::add);
        }
    }

    private List<Kind> kinds(String attempt) {
        return said.stream()
                .filter(s -> s.attempt().equals(attempt) && !s.silent())
                .map(AttemptReport::kind)
                .toList();
    }

    private Reason refused(String attempt) {
        return said.stream()
                .filter(s -> s.attempt().equals(attempt) && s.kind() == Kind.REFUSED)
                .map(AttemptReport::reason)
                .findFirst()
                .orElse(null);
    }

    @Test
    void whatFitsIsAcceptedRunsAndEndsOnce() {
        NodeEmulator node = node(true);
        node.offer(now, offer("a", "safe", 1, 1), said::add);
        node.offer(now, offer("a", "safe", 1, 1), said::add); // the same one again counts once
        passes(node, 10 * SECOND);
        assertThat(kinds("a")).containsExactly(Kind.ACCEPTED, Kind.RUNS, Kind.ENDED);
        assertThat(node.load().getCoresFree()).isEqualTo(10);
    }

    @Test
    void whatDoesNotFitIsRefusedAndWhichIsSaid() {
        NodeEmulator node = node(true);
        node.offer(now, offer("a", "safe", 11, 1), said::add);
        node.offer(now, offer("b", "safe", 1, 21), said::add);
        passes(node, SECOND);
        assertThat(refused("a")).isEqualTo(Reason.NO_CORES);
        assertThat(refused("b")).isEqualTo(Reason.NO_MEMORY);
    }

    @Test
    void itLooksAtOneOfferAtATimeAndLetsOnlySoManyWait() {
        NodeEmulator node = node(true);
        for (int i = 0; i < 5; i++) {
            node.offer(now, offer("a" + i, "safe", 1, 1), said::add);
        }
        assertThat(refused("a3")).isEqualTo(Reason.OFFERS_WAIT);
        passes(node, 6 * MS);
        assertThat(kinds("a0")).startsWith(Kind.ACCEPTED);
        assertThat(kinds("a1")).isEmpty();
    }

    @Test
    void aStartIsDearerWithoutTheProgram() {
        NodeEmulator node = node(true);
        node.offer(now, offer("a", "safe", 1, 1), said::add);
        passes(node, 500 * MS);
        assertThat(kinds("a")).doesNotContain(Kind.RUNS);
        passes(node, 200 * MS);
        node.offer(now, offer("b", "safe", 1, 1), said::add);
        passes(node, 200 * MS);
        assertThat(kinds("b")).contains(Kind.RUNS);
    }

    @Test
    void repeatsOfAKeyAreDroppedInTheHallWithinTheWindow() {
        NodeEmulator first = node(true);
        NodeEmulator second = node(true);
        first.offer(now, offer("a", "keyed", 1, 1), said::add);
        passes(first, SECOND);
        second.offer(now, offer("b", "keyed", 1, 1), said::add);
        passes(second, SECOND);
        assertThat(refused("b")).isEqualTo(Reason.KEY_HELD);
        passes(second, 5 * SECOND);
        second.offer(now, offer("c", "keyed", 1, 1), said::add);
        passes(second, SECOND);
        assertThat(kinds("c")).contains(Kind.ACCEPTED);
    }

    @Test
    void aKeyWhoseAttemptNeverRanIsGivenBack() {
        NodeEmulator node = node(true);
        node.offer(now, offer("x", "safe", 1, 1), said::add);
        node.offer(now, offer("y", "safe", 1, 1), said::add);
        node.offer(now, offer("a", "keyed", 1, 1), said::add);
        passes(node, 16 * MS); // accepted, but two starts go before it
        node.withdraw(now, "p", "a", said::add);
        assertThat(said.get(said.size() - 1))
                .returns("a", AttemptReport::attempt)
                .returns(Kind.WITHDRAWN, AttemptReport::kind)
                .returns(false, AttemptReport::ran);
        node.offer(now, offer("b", "keyed", 1, 1), said::add);
        passes(node, SECOND);
        assertThat(kinds("b")).contains(Kind.ACCEPTED);
    }

    @Test
    void aColdNodeIsSlowerAndFallsOverWhenPushed() {
        NodeEmulator node = node(false);
        node.offer(now, offer("a", "safe", 1, 1), said::add);
        passes(node, 2 * SECOND);
        assertThat(kinds("a")).doesNotContain(Kind.RUNS);
        for (int i = 0; i < 20; i++) {
            node.offer(now, offer("b" + i, "safe", 0.1, 0.1), said::add);
        }
        assertThat(node.fallen()).isTrue();
        int before = said.size();
        passes(node, 20 * SECOND);
        assertThat(said).hasSize(before); // it does nothing more in this life
    }

    @Test
    void aDrainSendsEverythingAwayAndTakesNothing() {
        NodeEmulator node = node(true);
        node.offer(now, offer("a", "safe", 1, 1), said::add);
        passes(node, SECOND);
        node.drain(now, true, said::add);
        node.offer(now, offer("b", "safe", 1, 1), said::add);
        assertThat(kinds("a")).endsWith(Kind.SENT_AWAY);
        assertThat(refused("b")).isEqualTo(Reason.DRAINING);
        assertThat(node.held()).isZero();
    }

    @Test
    void whenMemoryRunsOutTheNewestIsEvicted() {
        NodeEmulator node =
                new NodeEmulator(
                        new NodeShape("n", "std", "a", 1, 10, 20),
                        behaviour(1.5),
                        keys,
                        1,
                        now,
                        5,
                        true);
        node.offer(now, offer("a", "safe", 1, 10), said::add);
        passes(node, 700 * MS);
        node.offer(now, offer("b", "safe", 1, 9), said::add);
        passes(node, 200 * MS);
        assertThat(kinds("b")).containsExactly(Kind.ACCEPTED, Kind.RUNS, Kind.EVICTED);
        assertThat(kinds("a")).doesNotContain(Kind.EVICTED);
    }

    @Test
    void aMutedClassIsTakenAndNothingIsSaid() {
        NodeEmulator node = node(true);
        node.mute("safe", now + SECOND);
        node.offer(now, offer("a", "safe", 1, 1), said::add);
        node.offer(now, offer("b", "other", 1, 1), said::add);
        passes(node, SECOND);
        assertThat(kinds("a")).isEmpty();
        assertThat(kinds("b")).contains(Kind.RUNS);
        assertThat(node.inventory("p")).hasSize(2);
    }
}
