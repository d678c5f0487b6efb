package thornferry.testbed.scenario;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** What a fault does, and to what. */
public enum FaultKind {
    /** Nodes crash together and restart with a slow start after the duration. */
    NODE_CRASH("crash", Requirement.NODES_IN_PROCESS),

    /** Nodes process nothing for the duration. */
    NODE_PAUSE("pause", Requirement.NODES_IN_PROCESS),

    /** All placers are suspended (SIGSTOP) for the duration. */
    PLACER_PAUSE("placer-pause", Requirement.NONE),

    /** Nodes send no reports on tasks of one class for the duration, but on all others. */
    CLASS_MUTE("mute", Requirement.NODES_IN_PROCESS),

    /** For the duration nodes lose the fraction {@code factor} of their reports of acceptance. */
    REPORT_LOSS("answers-lost", Requirement.NODES_IN_PROCESS),

    /** Nodes evict tasks, each up to {@code factor}. */
    PREEMPTION("preempt", Requirement.NODES_IN_PROCESS),

    /** The rate of all traffic is multiplied by {@code factor} for the duration. */
    TRAFFIC_SURGE("surge", Requirement.NONE),

    /** Clients stop a fraction of their placed tasks and submit them again under new ids. */
    SERVICE_RESTART("restart-services", Requirement.NONE),

    /** Clients break their connections without notice and reconnect after the duration. */
    CLIENT_DISCONNECT("vanish", Requirement.NONE),

    /** The process of a placer is killed (SIGKILL), and restarted after the duration. */
    PLACER_KILL("placer-kill", Requirement.NONE),

    /** A process with nodes is killed; its nodes restart with a slow start after the duration. */
    NODE_PROCESS_KILL("node-kill", Requirement.NODE_PROCESSES),

    /** A process with nodes and the process of a placer are killed at the same time. */
    NODE_AND_PLACER_KILL("both-kill", Requirement.NODE_PROCESSES),

    /** Connections are closed in the middle of a frame. */
    CONNECTION_CUT("cut", Requirement.NONE),

    /** Connections stay open but transmit nothing any more. */
    HALF_OPEN_CONNECTION("half-open", Requirement.NONE),

    /** The peers of a placer read nothing for the duration. */
    SLOW_READER("slow-reader", Requirement.NONE),

    /** An operator drains nodes for the duration. */
    NODE_DRAIN("drain", Requirement.NODES_IN_PROCESS);

    /** Where the nodes must run for a fault to be possible. */
    enum Requirement {
        /** Anywhere. */
        NONE,
        /** In the process of the scenario, which injects the fault into their agents. */
        NODES_IN_PROCESS,
        /** In processes of their own, which can be killed. */
        NODE_PROCESSES
    }

    private final String word;
    private final Requirement requirement;

    FaultKind(String word, Requirement requirement) {
        this.word = word;
        this.requirement = requirement;
    }

    /** The kinds by their words in scenario files, in the order in which complaints list them. */
    static Map<String, FaultKind> byWord() {
        Map<String, FaultKind> kinds = new LinkedHashMap<>();
        for (FaultKind kind : values()) {
            kinds.put(kind.word, kind);
        }
        return Collections.unmodifiableMap(kinds);
    }

    Requirement requirement() {
        return requirement;
    }
}
