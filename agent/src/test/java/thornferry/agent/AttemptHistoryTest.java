package thornferry.agent;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Effect;
import thornferry.protocol.v1.Register;
import thornferry.protocol.v1.Task;

class AttemptHistoryTest {
    private static final long SECOND = 1_000_000;

    private final AttemptHistory memory = new AttemptHistory();

    private static Answer over(String attempt, Effect effect, Answer.Kind kind) {
        return Answer.newBuilder()
                .setAttempt(attempt)
                .setKind(kind)
                .setOwner("o")
                .setEffect(effect)
                .setTask(
                        Task.newBuilder()
                                .setId("t-" + attempt)
                                .setTaskClass("c")
                                .setService("s".repeat(100)))
                .build();
    }

    private Register told(long now) {
        Register.Builder r = Register.newBuilder();
        memory.tell(now, r);
        return r.build();
    }

    @Test
    void harmfulEndsAreRememberedAsLongAsThePlacerWishesOthersHalfAMinute() {
        memory.keepFor(600 * SECOND);
        memory.over(SECOND, over("a", Effect.UNSAFE, Answer.Kind.ENDED));
        memory.over(SECOND, over("b", Effect.KEYED, Answer.Kind.WITHDRAWN));
        memory.over(SECOND, over("c", Effect.SAFE, Answer.Kind.ENDED));
        memory.over(SECOND, over("d", Effect.UNSAFE, Answer.Kind.REFUSED));
        assertThat(told(2 * SECOND).getRecentList())
                .extracting(Answer::getAttempt)
                .containsExactlyInAnyOrder("a", "b", "c", "d");
        Register later = told(100 * SECOND);
        assertThat(later.getRecentList()).extracting(Answer::getAttempt).containsExactly("a", "b");
        assertThat(later.hasForgotUnsafeMs()).isTrue();
        assertThat(later.getForgotUnsafeMs()).isZero();
    }

    @Test
    void whatIsForgottenIsOwnedUpToByEffect() {
        memory.keepFor(60 * SECOND);
        memory.over(SECOND, over("a", Effect.UNSAFE, Answer.Kind.ENDED));
        memory.over(50 * SECOND, over("b", Effect.UNSAFE, Answer.Kind.ENDED));
        Register r = told(71 * SECOND);
        assertThat(r.getRecentList()).extracting(Answer::getAttempt).containsExactly("b");
        assertThat(r.getForgotUnsafeMs()).isEqualTo(70_000);
        assertThat(r.getForgotKeyedMs()).isZero();
    }

    @Test
    void moreThanFitsInAFrameIsToldNewestFirstAndTheRestAsForgotten() {
        memory.keepFor(600 * SECOND);
        for (int i = 1; i <= AttemptHistory.MOST + 10; i++) {
            memory.over(i * 10_000L, over("a" + i, Effect.KEYED, Answer.Kind.ENDED));
        }
        memory.over(SECOND, over("u", Effect.UNSAFE, Answer.Kind.ENDED));
        Register r = told(400 * SECOND);
        assertThat(r.getSerializedSize()).isLessThan(AttemptHistory.MOST_OCTETS + 100);
        assertThat(r.getRecentList())
                .extracting(Answer::getAttempt)
                .contains("u", "a" + (AttemptHistory.MOST + 10))
                .doesNotContain("a1", "a1000");
        long lastLeftOut = 400_000 - r.getForgotKeyedMs(); // milliseconds
        assertThat(
                        r.getRecentList().stream()
                                .filter(a -> a.getEffect() == Effect.KEYED)
                                .mapToLong(a -> Long.parseLong(a.getAttempt().substring(1)) * 10)
                                .min()
                                .orElseThrow())
                .isGreaterThan(lastLeftOut);
        assertThat(r.getForgotUnsafeMs()).isZero();
    }

    @Test
    void aNewLifeRemembersNothingAndHasForgottenNothing() {
        memory.over(SECOND, over("a", Effect.UNSAFE, Answer.Kind.ENDED));
        memory.clear();
        assertThat(told(2 * SECOND).getRecentList()).isEmpty();
        assertThat(told(2 * SECOND).getForgotUnsafeMs()).isZero();
    }
}
