package thornferry.decisions.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import thornferry.decisions.membership.Membership.Registration;
import thornferry.decisions.placement.Placement.MachineKind;

/**
 * Checks the content of a registration against the configured machine kinds. The machine receives
 * the error messages.
 */
final class RegistrationValidator {
    private static final int MAX_NAME_LENGTH = 128;

    /** Tolerance of the comparison of registered and configured sizes. */
    private static final double SIZE_TOLERANCE = 1e-6;

    private final Map<String, MachineKind> kinds = new LinkedHashMap<>();

    RegistrationValidator(List<MachineKind> kinds) {
        kinds.forEach(kind -> this.kinds.put(kind.name(), kind));
    }

    /** Returns what is invalid about the registration, or empty if it is valid. */
    Optional<String> findError(Registration registration) {
        String machine = registration.machine();
        if (machine.isEmpty() || machine.length() > MAX_NAME_LENGTH) {
            return Optional.of("a node's name has 1 to " + MAX_NAME_LENGTH + " characters");
        }
        if (registration.zone().isEmpty()) {
            return Optional.of("node " + machine + " names no zone");
        }
        MachineKind kind = kinds.get(registration.kind());
        if (kind == null) {
            return Optional.of(unknownKind(registration.kind()));
        }
        if (differs(registration.cores(), kind.cores())
                || differs(registration.memory(), kind.memory())) {
            return Optional.of(sizeMismatch(registration, kind));
        }
        if (registration.uptimeMicros() < 0
                || !Double.isFinite(registration.freeCores())
                || !Double.isFinite(registration.freeMemory())) {
            return Optional.of("uptime and load must be numbers, uptime not below 0");
        }
        return Optional.empty();
    }

    private static boolean differs(double registered, double configured) {
        return Math.abs(registered - configured) > SIZE_TOLERANCE;
    }

    private String unknownKind(String kind) {
        return "kind " + kind + " is not configured; known: " + String.join(", ", kinds.keySet());
    }

    private static String sizeMismatch(Registration registration, MachineKind kind) {
        return "kind "
                + registration.kind()
                + " is configured with "
                + kind.cores()
                + " cores and "
                + kind.memory()
                + " memory, not "
                + registration.cores()
                + " and "
                + registration.memory();
    }
}
