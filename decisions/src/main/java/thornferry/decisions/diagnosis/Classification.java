package thornferry.decisions.diagnosis;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import thornferry.decisions.diagnosis.PendingReasons.Evidence;
import thornferry.decisions.diagnosis.PendingReasons.Kind;

/** Collects evidence and the number of machines for each kind of reason. */
final class Classification {
    private final List<Evidence> evidence = new ArrayList<>();
    private final Map<Kind, Integer> machinesByKind = new LinkedHashMap<>();

    /** Adds evidence that does not count for any kind. */
    void add(Evidence item) {
        evidence.add(item);
    }

    /** Adds evidence about a number of machines, unless that is 0. */
    void addMachines(String description, int machines) {
        if (machines > 0) {
            evidence.add(Evidence.ofMachines(description, machines));
        }
    }

    /** Counts machines for a kind, without evidence. */
    void count(Kind kind, int machines) {
        if (machines > 0) {
            machinesByKind.merge(kind, machines, Integer::sum);
        }
    }

    /** Counts machines for a kind and adds that as evidence, unless the number is 0. */
    void countMachines(Kind kind, String description, int machines) {
        addMachines(description, machines);
        count(kind, machines);
    }

    /** Counts one machine for a kind and adds evidence about it. */
    void countMachine(Kind kind, Evidence item) {
        count(kind, 1);
        add(item);
    }

    /** The kind with the most machines; among equals, the one that was counted first. */
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
