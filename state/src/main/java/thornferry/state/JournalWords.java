package thornferry.state;

import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.RequestResult;

/**
 * The words that journal files use for enumerated values. They never change; the constants' names
 * may.
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
     * @throws IllegalArgumentException if the word is not known
     */
    static Idempotency idempotency(String word) {
        return switch (word) {
            case "SAFE" -> Idempotency.IDEMPOTENT;
            case "KEYED" -> Idempotency.IDEMPOTENT_WITH_KEY;
            case "UNSAFE" -> Idempotency.NON_IDEMPOTENT;
            default -> throw unknown("effect", word);
        };
    }

    /**
     * @throws IllegalArgumentException if the word is not known
     */
    static RequestResult result(String word) {
        return switch (word) {
            case "PLACED" -> RequestResult.PLACED;
            case "REFUSED" -> RequestResult.REJECTED;
            case "FAILED" -> RequestResult.FAILED;
            default -> throw unknown("result", word);
        };
    }

    /**
     * @throws IllegalArgumentException if the word is not known
     */
    static TerminationCause terminationCause(String word) {
        return switch (word) {
            case "ENDED" -> TerminationCause.COMPLETED;
            case "EVICTED" -> TerminationCause.EVICTED;
            case "LOST" -> TerminationCause.LOST;
            case "MOVED" -> TerminationCause.MIGRATED;
            case "STOPPED" -> TerminationCause.STOPPED;
            default -> throw unknown("fate", word);
        };
    }

    private static IllegalArgumentException unknown(String field, String word) {
        return new IllegalArgumentException("unknown word in field " + field + ": " + word);
    }
}
