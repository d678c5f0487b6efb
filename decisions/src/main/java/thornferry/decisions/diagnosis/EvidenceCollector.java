package thornferry.decisions.diagnosis;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import thornferry.decisions.diagnosis.PendingReasons.Evidence;
import thornferry.decisions.diagnosis.PendingReasons.Kind;

/** Collects evidence, and counts the machines that each kind of reason excludes. */
final class EvidenceCollector {
    private final List<Evidence> evidence = new ArrayList<>();
    private final Map<Kind, Integer> machinesByKind = new LinkedHashMap<>();

    /** Adds evidence without counting machines for a kind. */
    void addEvidence(Evidence item) {
        evidence.add(item);
    }

    /** Adds evidence about a number of machines, unless the number is 0. */
    void addMachineEvidence(String description, int machines) {
        if (machines > 0) {
            evidence.add(Evidence.ofMachines(description, machines));
        }
    }

    /** Counts machines for a kind without adding evidence. */
    void countMachines(Kind kind, int machines) {
        if (machines > 0) {
            machinesByKind.merge(kind, machines, Integer::sum);
        }
    }

    /** Counts machines for a kind and adds evidence about them, unless the number is 0. */
    void countWithEvidence(Kind kind, String description, int machines) {
        addMachineEvidence(description, machines);
        countMachines(kind, machines);
    }

    /** Counts one machine for a kind and adds evidence about it. */
    void countWithEvidence(Kind kind, Evidence item) {
        countMachines(kind, 1);
        addEvidence(item);
    }

    /**
     * Returns the kind with the most machines, or empty if no machine was counted. Among kinds with
     * equal numbers, the one that was counted first is returned.
     */
    Optional<Kind> dominantKind() {
        Kind dominant = null;
        for (Map.Entry<Kind, Integer> entry : machinesByKind.entrySet()) {
            if (dominant == null || entry.getValue() > machinesByKind.get(dominant)) {
                dominant = entry.getKey();
            }
        }
        return Optional.ofNullable(dominant);
    }

    List<Evidence> evidence() {
        return evidence;
    }
}
