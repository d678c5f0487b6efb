package thornferry.decisions.machines;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import thornferry.decisions.machines.ProcessVerification.Check;

class ProcessVerificationTest {
    private static final long CONNECTION = 5;
    private static final long DEADLINE_MICROS = 1_000;
    private static final Check CHECK = check("c1", "b");

    private final ProcessVerification verification = new ProcessVerification();

    private static Check check(String healthCheckId, String successor) {
        return new Check(CONNECTION, healthCheckId, "a", successor, DEADLINE_MICROS);
    }

    @Test
    void isCompletedOnceByTheAnswerOnItsConnection() {
        verification.begin(CHECK);
        assertThat(verification.answered(CONNECTION + 1, "c1")).isEmpty();
        assertThat(verification.answered(CONNECTION, "c2")).isEmpty();
        assertThat(verification.answered(CONNECTION, "c1")).contains(CHECK);
        assertThat(verification.answered(CONNECTION, "c1")).isEmpty();
        assertThat(verification.closed(CONNECTION)).isEmpty();
    }

    @Test
    void failsOnceWhenItsConnectionCloses() {
        verification.begin(CHECK);
        assertThat(verification.closed(CONNECTION)).contains(CHECK);
        assertThat(verification.closed(CONNECTION)).isEmpty();
        assertThat(verification.answered(CONNECTION, "c1")).isEmpty();
    }

    @Test
    void isOverdueFromItsDeadlineOnUntilTheConnectionCloses() {
        verification.begin(CHECK);
        assertThat(verification.overdue(DEADLINE_MICROS - 1)).isEmpty();
        assertThat(verification.overdue(DEADLINE_MICROS)).containsExactly(CONNECTION);
        assertThat(verification.closed(CONNECTION)).contains(CHECK);
        assertThat(verification.overdue(DEADLINE_MICROS)).isEmpty();
    }

    /** Guards against an answer of a process that has been replaced in the meantime. */
    @Test
    void ignoresAnswerToCheckThatWasBegunAgain() {
        verification.begin(CHECK);
        assertThat(verification.isPendingFor(CONNECTION, "b")).isTrue();
        verification.begin(check("c2", "c"));
        assertThat(verification.isPendingFor(CONNECTION, "b")).isFalse();
        assertThat(verification.answered(CONNECTION, "c1")).isEmpty();
        assertThat(verification.answered(CONNECTION, "c2")).contains(check("c2", "c"));
    }
}
