package thornferry.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.Placement.MachineEntry;
import thornferry.decisions.Placement.MachineKind;
import thornferry.decisions.Placement.MachineState;

/**
 * What has been seen of the machines, for the line and for reasons: state, size, the last report of
 * room and the last refusal. Observed beside the module and never asked by it: where a task goes is
 * not decided here. Microseconds.
 */
public final class Fleet {
    /** Why a machine turned an offer down, in its own words. */
    public enum Said {
        NO_CORES,
        NO_MEMORY,
        OFFERS_WAIT,
        KEY_HELD,
        DRAINING,
        NOT_HERE,
        NONE
    }

    /** One machine; {@code out} where it has no connection or is held out, microseconds. */
    static final class Seen {
        final String name;
        String kind = "";
        MachineState state = MachineState.GONE;
        double cores;
        double memory;
        double coresFree;
        double memoryFree;
        Said refused = Said.NONE; // not taken back by a reading since
        boolean silent; // it left an offer unanswered, or was out of reach, and has not answered

        // since

        Seen(String name) {
            this.name = name;
        }
    }

    private final Map<String, MachineKind> kinds = new HashMap<>();
    private final Map<String, Seen> machines = new LinkedHashMap<>();
    private long version;
    private boolean roomCame;
    private double largestCores;
    private double largestMemory;
    private double totalCores;
    private double totalMemory;

    public Fleet(List<MachineKind> kinds) {
        kinds.forEach(k -> this.kinds.put(k.name(), k));
    }

    /** The same lines as the module's list. */
    public void listed(List<MachineEntry> lines) {
        for (MachineEntry line : lines) {
            Seen m = machines.computeIfAbsent(line.machine(), Seen::new);
            MachineKind kind = kinds.get(line.kind());
            m.kind = line.kind();
            m.cores = kind == null ? 0 : kind.cores();
            m.memory = kind == null ? 0 : kind.memory();
            if (m.state != MachineState.READY && line.state() == MachineState.READY) {
                m.coresFree = line.coresFree();
                m.memoryFree = line.memoryFree();
                m.refused = Said.NONE;
                m.silent = false;
                roomCame = true;
            }
            m.state = line.state();
        }
        version++;
        largestCores = 0;
        largestMemory = 0;
        totalCores = 0;
        totalMemory = 0;
        for (Seen m : machines.values()) {
            if (m.state == MachineState.READY) {
                largestCores = Math.max(largestCores, m.cores);
                largestMemory = Math.max(largestMemory, m.memory);
                totalCores += m.cores;
                totalMemory += m.memory;
            }
        }
    }

    /** A machine that membership has forgotten. */
    public void forgotten(String machine) {
        if (machines.remove(machine) != null) {
            listed(List.of());
        }
    }

    /** A report of room, with an answer or a probe's reply. */
    public void reported(String machine, double coresFree, double memoryFree) {
        Seen m = machines.get(machine);
        if (m == null || !Double.isFinite(coresFree + memoryFree)) {
            return;
        }
        roomCame |= coresFree > m.coresFree || memoryFree > m.memoryFree;
        m.coresFree = coresFree;
        m.memoryFree = memoryFree;
        m.silent = false;
        version++;
    }

    public void refused(String machine, Said why) {
        Seen m = machines.get(machine);
        if (m != null) {
            m.refused = why;
            m.silent = false;
            version++;
        }
    }

    /** It accepted something: what it refused before no longer describes it. */
    public void accepted(String machine) {
        Seen m = machines.get(machine);
        if (m != null && (m.refused != Said.NONE || m.silent)) {
            m.refused = Said.NONE;
            m.silent = false;
            version++;
        }
    }

    /** An attempt there was left unanswered or broke off. */
    public void silent(String machine) {
        Seen m = machines.get(machine);
        if (m != null) {
            m.silent = true;
            version++;
        }
    }

    /**
     * Whether a ready machine shows so much room; its report may be old, so this is a hint, not an
     * answer.
     */
    public boolean mayFit(double cores, double memory) {
        for (Seen m : machines.values()) {
            if (m.state == MachineState.READY && m.coresFree >= cores && m.memoryFree >= memory) {
                return true;
            }
        }
        return false;
    }

    /** Whether any known machine is as large as that. */
    boolean everFits(double cores, double memory) {
        for (Seen m : machines.values()) {
            if (m.cores >= cores && m.memory >= memory) {
                return true;
            }
        }
        return false;
    }

    /** Whether room has come since this was asked last. */
    boolean takeNews() {
        boolean came = roomCame;
        roomCame = false;
        return came;
    }

    /** Whether the task is a large one: this part of the largest ready machine. */
    boolean large(double cores, double memory, double part) {
        return part < 1
                && (cores >= part * largestCores && largestCores > 0
                        || memory >= part * largestMemory && largestMemory > 0);
    }

    /** The larger of the parts of all ready machines; of 1 where there are none. */
    double dominant(double cores, double memory) {
        return Math.max(cores / Math.max(1, totalCores), memory / Math.max(1, totalMemory));
    }

    long version() {
        return version;
    }

    List<Seen> all() {
        return new ArrayList<>(machines.values());
    }

    Seen machine(String name) {
        return machines.get(name);
    }
}
