package thornferry.agent;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Effect;
import thornferry.protocol.v1.Register;
import thornferry.protocol.v1.Task;

/** Tests the retention of finished attempts, in virtual time. */
class AttemptHistoryTest {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final AttemptHistory history = new AttemptHistory();

    private static Answer answer(String attempt, Effect effect, Answer.Kind kind) {
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

    private Register registrationAt(long now) {
        Register.Builder registration = Register.newBuilder();
        history.addTo(now, registration);
        return registration.build();
    }

    @Test
    void retainsNonIdempotentAndKeyedAttemptsAsConfiguredAndOthersForHalfAMinute() {
        history.retainFor(600 * MICROS_PER_SECOND);
        history.add(MICROS_PER_SECOND, answer("a", Effect.UNSAFE, Answer.Kind.ENDED));
        history.add(MICROS_PER_SECOND, answer("b", Effect.KEYED, Answer.Kind.WITHDRAWN));
        history.add(MICROS_PER_SECOND, answer("c", Effect.SAFE, Answer.Kind.ENDED));
        history.add(MICROS_PER_SECOND, answer("d", Effect.UNSAFE, Answer.Kind.REFUSED));
        assertThat(registrationAt(2 * MICROS_PER_SECOND).getRecentList())
                .extracting(Answer::getAttempt)
                .containsExactlyInAnyOrder("a", "b", "c", "d");
        Register later = registrationAt(100 * MICROS_PER_SECOND);
        assertThat(later.getRecentList()).extracting(Answer::getAttempt).containsExactly("a", "b");
        assertThat(later.hasForgotUnsafeMs()).isTrue();
        assertThat(later.getForgotUnsafeMs()).isZero();
    }

    @Test
    void reportsAgeOfNewestDroppedAttemptByEffect() {
        history.retainFor(60 * MICROS_PER_SECOND);
        history.add(MICROS_PER_SECOND, answer("a", Effect.UNSAFE, Answer.Kind.ENDED));
        history.add(50 * MICROS_PER_SECOND, answer("b", Effect.UNSAFE, Answer.Kind.ENDED));
        Register registration = registrationAt(71 * MICROS_PER_SECOND);
        assertThat(registration.getRecentList())
                .extracting(Answer::getAttempt)
                .containsExactly("b");
        assertThat(registration.getForgotUnsafeMs()).isEqualTo(70_000);
        assertThat(registration.getForgotKeyedMs()).isZero();
    }

    @Test
    void reportsNewestAttemptsThatFitAndCountsTheRestAsDropped() {
        history.retainFor(600 * MICROS_PER_SECOND);
        for (int i = 1; i <= AttemptHistory.MAX_RETAINED_PER_EFFECT + 10; i++) {
            history.add(i * 10_000L, answer("a" + i, Effect.KEYED, Answer.Kind.ENDED));
        }
        history.add(MICROS_PER_SECOND, answer("u", Effect.UNSAFE, Answer.Kind.ENDED));
        Register registration = registrationAt(400 * MICROS_PER_SECOND);
        assertThat(registration.getSerializedSize())
                .isLessThan(AttemptHistory.MAX_REGISTRATION_BYTES + 100);
        assertThat(registration.getRecentList())
                .extracting(Answer::getAttempt)
                .contains("u", "a" + (AttemptHistory.MAX_RETAINED_PER_EFFECT + 10))
                .doesNotContain("a1", "a1000");
        long newestMissingMillis = 400_000 - registration.getForgotKeyedMs();
        assertThat(
                        registration.getRecentList().stream()
                                .filter(answer -> answer.getEffect() == Effect.KEYED)
                                .mapToLong(
                                        answer ->
                                                Long.parseLong(answer.getAttempt().substring(1))
                                                        * 10)
                                .min()
                                .orElseThrow())
                .isGreaterThan(newestMissingMillis);
        assertThat(registration.getForgotUnsafeMs()).isZero();
    }

    @Test
    void newIncarnationHasNoAttemptsAndNoneDropped() {
        history.add(MICROS_PER_SECOND, answer("a", Effect.UNSAFE, Answer.Kind.ENDED));
        history.clear();
        assertThat(registrationAt(2 * MICROS_PER_SECOND).getRecentList()).isEmpty();
        assertThat(registrationAt(2 * MICROS_PER_SECOND).getForgotUnsafeMs()).isZero();
    }
}
