package thornferry.bench;

import thornferry.bench.WireRow.Column;

/**
 * The columns of the simulator's messages. The name of each constant is the term that the code
 * uses; the string is the column's name in the simulator's specification. Column 0 of every message
 * is the name of the message.
 */
final class WireColumns {
    private WireColumns() {}

    /** Column 1 of every message to an instance. */
    static final Column INSTANCE = new Column(1, "placer");

    /** Columns of {@link MessageType#BATCH_START}. */
    static final class BatchStart {
        static final Column CLOCK_MICROS = new Column(1, "clock");
        static final Column BATCH_NUMBER = new Column(2, "batch number");

        private BatchStart() {}
    }

    /** Columns of {@link MessageType#CONFIGURE}. */
    static final class Configure {
        static final Column SEED = new Column(2, "salt");
        static final Column SETTINGS = new Column(3, "config");

        private Configure() {}
    }

    /** Columns of {@link MessageType#MACHINE_LIST}. */
    static final class MachineList {
        static final Column LIST_NUMBER = new Column(1, "table");
        static final Column ENTRIES = new Column(2, "items");

        private MachineList() {}
    }

    /** Columns of an entry of a machine list. */
    static final class MachineEntryColumns {
        static final Column MACHINE = new Column(0, "machine");
        static final Column ZONE = new Column(1, "locality");
        static final Column KIND = new Column(2, "classOfHost");
        static final Column FREE_CORES = new Column(3, "coresFree");
        static final Column CELL = new Column(4, "stripe");
        static final Column STATE = new Column(5, "stageState");
        static final Column WEIGHT = new Column(6, "heft");
        static final Column FREE_MEMORY = new Column(7, "freeMemory");
        static final Column STARTED_AT_MICROS = new Column(8, "startTime");

        private MachineEntryColumns() {}
    }

    /** Columns of {@link MessageType#LIST_UPDATE}. */
    static final class ListUpdate {
        static final Column VERSION = new Column(2, "generation");
        static final Column LIST_NUMBER = new Column(3, "table");
        static final Column KIND = new Column(4, "how");

        private ListUpdate() {}
    }

    /** Columns of {@link MessageType#PLACEMENT_REQUESTED} and {@link MessageType#TASK_ADOPTED}. */
    static final class Request {
        static final Column REQUEST_ID = new Column(2, "xid");
        static final Column TASK_CLASS = new Column(3, "kind");
        static final Column TENANT = new Column(4, "tenant");
        static final Column TASK = new Column(5, "instanceKey");
        static final Column MAX_WAIT_MICROS = new Column(6, "grace");
        static final Column EXPECTED_RUN_MICROS = new Column(7, "lasts");
        static final Column SERVICE = new Column(8, "service");
        static final Column CORES = new Column(9, "cpus");
        static final Column MEMORY = new Column(10, "memory");
        static final Column OPTIONS = new Column(11, "opts");

        /** The machine that runs the task; only in {@link MessageType#TASK_ADOPTED}. */
        static final Column MACHINE = new Column(12, "machine");

        private Request() {}
    }

    /** The columns that all messages about an attempt begin with. */
    static final class Attempt {
        static final Column REQUEST_ID = new Column(2, "xid");
        static final Column ATTEMPT = new Column(3, "try");
        static final Column MACHINE = new Column(4, "machine");

        private Attempt() {}
    }

    /** Further columns of {@link MessageType#ATTEMPT_ACCEPTED}. */
    static final class AttemptAcceptedColumns {
        static final Column WAITED_MICROS = new Column(5, "waitTime");

        private AttemptAcceptedColumns() {}
    }

    /** Further columns of {@link MessageType#ATTEMPT_ENDED}. */
    static final class AttemptEndedColumns {
        static final Column OUTCOME = new Column(5, "code");
        static final Column WAITED_MICROS = new Column(6, "waitTime");
        static final Column SETTLED = new Column(7, "settled");
        static final Column REASON = new Column(8, "note");
        static final Column LOAD_REPORT = new Column(9, "metrics");

        private AttemptEndedColumns() {}
    }

    /** Further columns of {@link MessageType#TASK_OBSERVED}. */
    static final class Observation {
        static final Column KIND = new Column(5, "sort");
        static final Column VALUE = new Column(6, "level");

        private Observation() {}
    }

    /** Columns of {@link MessageType#HEALTH_CHECK_COMPLETED}. */
    static final class HealthCheck {
        static final Column WAITED_MICROS = new Column(2, "waitTime");
        static final Column OUTCOME = new Column(3, "code");
        static final Column MACHINE = new Column(4, "machine");
        static final Column LOAD_REPORT = new Column(5, "metrics");

        private HealthCheck() {}
    }

    /** Columns of {@link MessageType#CLIENT_DISCONNECTED}. */
    static final class ClientDisconnectedColumns {
        static final Column REQUEST_ID = new Column(2, "xid");

        private ClientDisconnectedColumns() {}
    }

    /** Columns of {@link MessageType#TIMER_FIRED}. */
    static final class Timer {
        static final Column REFERENCE = new Column(2, "ref");

        private Timer() {}
    }
}
