package thornferry.state;

import java.util.Arrays;
import java.util.function.Function;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.RequestResult;

/**
 * The names that journal files use for enumerated values. The stored names never change, whereas
 * the Java constants may be renamed.
 */
public final class StoredNames {
    private StoredNames() {}

    /** Returns the stored name of an idempotency. */
    public static String storedName(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "SAFE";
            case IDEMPOTENT_WITH_KEY -> "KEYED";
            case NON_IDEMPOTENT -> "UNSAFE";
        };
    }

    /** Returns the stored name of a request's result. */
    public static String storedName(RequestResult result) {
        return switch (result) {
            case PLACED -> "PLACED";
            case REJECTED -> "REFUSED";
            case FAILED -> "FAILED";
        };
    }

    /** Returns the stored name of a termination cause. */
    public static String storedName(TerminationCause cause) {
        return switch (cause) {
            case COMPLETED -> "ENDED";
            case EVICTED -> "EVICTED";
            case LOST -> "LOST";
            case MIGRATED -> "MOVED";
            case STOPPED -> "STOPPED";
        };
    }

    /**
     * Returns the idempotency with a stored name.
     *
     * @throws IllegalArgumentException if the name is unknown
     */
    static Idempotency idempotency(String storedName) {
        return constantWithName(Idempotency.values(), StoredNames::storedName, storedName);
    }

    /**
     * Returns the request's result with a stored name.
     *
     * @throws IllegalArgumentException if the name is unknown
     */
    static RequestResult result(String storedName) {
        return constantWithName(RequestResult.values(), StoredNames::storedName, storedName);
    }

    /**
     * Returns the termination cause with a stored name.
     *
     * @throws IllegalArgumentException if the name is unknown
     */
    static TerminationCause terminationCause(String storedName) {
        return constantWithName(TerminationCause.values(), StoredNames::storedName, storedName);
    }

    private static <E extends Enum<E>> E constantWithName(
            E[] constants, Function<E, String> toStoredName, String storedName) {
        return Arrays.stream(constants)
                .filter(constant -> toStoredName.apply(constant).equals(storedName))
                .findFirst()
                .orElseThrow(
                        () -> new IllegalArgumentException("unknown stored name: " + storedName));
    }
}
