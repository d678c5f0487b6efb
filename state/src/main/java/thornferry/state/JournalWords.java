package thornferry.state;

import java.util.Arrays;
import java.util.function.Function;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.RequestResult;

/**
 * The words that journal files use for enumerated values. They never change; the names of the
 * constants may.
 */
public final class JournalWords {
    private JournalWords() {}

    /** The word for an idempotency. */
    public static String of(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "SAFE";
            case IDEMPOTENT_WITH_KEY -> "KEYED";
            case NON_IDEMPOTENT -> "UNSAFE";
        };
    }

    /** The word for a request's result. */
    public static String of(RequestResult result) {
        return switch (result) {
            case PLACED -> "PLACED";
            case REJECTED -> "REFUSED";
            case FAILED -> "FAILED";
        };
    }

    /** The word for a termination cause. */
    public static String of(TerminationCause cause) {
        return switch (cause) {
            case COMPLETED -> "ENDED";
            case EVICTED -> "EVICTED";
            case LOST -> "LOST";
            case MIGRATED -> "MOVED";
            case STOPPED -> "STOPPED";
        };
    }

    /**
     * The idempotency that a word stands for.
     *
     * @throws IllegalArgumentException if the word is not known
     */
    static Idempotency idempotency(String word) {
        return constant(Idempotency.values(), JournalWords::of, word);
    }

    /**
     * The request's result that a word stands for.
     *
     * @throws IllegalArgumentException if the word is not known
     */
    static RequestResult result(String word) {
        return constant(RequestResult.values(), JournalWords::of, word);
    }

    /**
     * The termination cause that a word stands for.
     *
     * @throws IllegalArgumentException if the word is not known
     */
    static TerminationCause terminationCause(String word) {
        return constant(TerminationCause.values(), JournalWords::of, word);
    }

    private static <E extends Enum<E>> E constant(
            E[] constants, Function<E, String> wordOf, String word) {
        return Arrays.stream(constants)
                .filter(constant -> wordOf.apply(constant).equals(word))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown word: " + word));
    }
}
