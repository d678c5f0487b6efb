package thornferry.decisions.placement;

import java.util.List;
import java.util.function.Consumer;

/**
 * The interface of the placement policy: the settings it is created with, the events it gets and
 * the actions it answers them with.
 *
 * <p>One instance decides for one placer. Its host hands it every event together with the current
 * time and carries out the actions in the order given. An instance is not thread-safe. All times
 * and durations are microseconds; amounts of memory are in the unit that the settings use.
 */
public interface Placement {
    /**
     * Takes one event and hands the actions that follow from it to {@code actions}, in order.
     *
     * @param nowMicros the current time, which never goes back from one call to the next
     */
    void on(long nowMicros, Event event, Consumer<Action> actions);

    /** Whether a task may be started again after an attempt that may have run. */
    enum Idempotency {
        /** It may, anywhere. */
        IDEMPOTENT,
        /** It may where its idempotency key is known: see {@link TaskClass#keyScope}. */
        IDEMPOTENT_WITH_KEY,
        /** It must not. */
        NON_IDEMPOTENT
    }

    /** A set of machines: those that share idempotency keys, or over which a service is spread. */
    enum TopologyScope {
        NONE,
        MACHINE,
        CELL,
        ZONE,
        ALL
    }

    /** How load reports reach the placer. */
    enum LoadReportMode {
        NONE,
        /** With the outcomes of attempts and the results of health checks. */
        WITH_RESPONSES,
        /** With the results of health checks alone. */
        ON_HEALTH_CHECK
    }

    /** What a message of the endpoint list contains. */
    enum ListUpdateKind {
        /** All machines, as last known to the sender; possibly old. */
        CACHED,
        FULL,
        DELTA,
        /** Nothing: a request to the list or the subscription failed. */
        FAILED
    }

    /** The state of a machine in the endpoint list; only a READY one takes offers. */
    enum MachineState {
        GONE,
        READY,
        DRAINING
    }

    /** How an attempt ended. */
    enum AttemptOutcome {
        COMPLETED(false),
        ERROR(false),
        /** The machine did not accept the task; see {@link OutcomeReason}. */
        REJECTED(true),
        TIMED_OUT(false),
        /** No connection to the machine could be made. */
        UNREACHABLE(true),
        /** The connection or the machine was lost. */
        LOST(false),
        CANCELLED(false),
        /** The host did not send the offer. */
        NOT_SENT(true);

        /** Whether the outcome proves that the task never ran. */
        public final boolean neverRan;

        AttemptOutcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Why an attempt ended as it did, NONE where the machine gave no reason. */
    enum OutcomeReason {
        NONE,
        INSUFFICIENT_CORES,
        INSUFFICIENT_MEMORY,
        /** Too many accepted tasks wait for their start. */
        QUEUE_FULL,
        /** The machine takes no tasks, or knows the task's idempotency key from another attempt. */
        UNAVAILABLE,
        /** The machine ran out of memory and stopped the task. */
        EVICTED,
        /** The task made way for one of a higher priority. */
        PREEMPTED,
        /** The machine stopped its tasks in order to leave. */
        EVACUATED
    }

    /** Why a ready machine gets no offer of a pending task now; see {@link Pending}. */
    enum FilterReason {
        /** It would lack capacity even with nothing else on it. */
        MACHINE_TOO_SMALL,
        /** It is not of the kind that the class requires. */
        WRONG_KIND,
        INSUFFICIENT_CORES,
        INSUFFICIENT_MEMORY,
        /** It has rejected a task no larger for lack of capacity since its last load report. */
        RECENTLY_REJECTED,
        /** It is ejected as an outlier. */
        MACHINE_EJECTED,
        /** It is ejected as an outlier for the task's class alone. */
        CLASS_EJECTED,
        /** It has just rejected a task because too many wait for their start. */
        QUEUE_FULL,
        /** An earlier attempt of this task failed there. */
        PREVIOUS_ATTEMPT_FAILED,
        /** It does not know the idempotency key of an attempt that may have run. */
        OUTSIDE_KEY_SCOPE,
        /** It has just started and has had this placer's share of offers (slow start). */
        WARMING_UP,
        /** Its scope runs as many tasks of the service as the class allows. */
        SPREAD_LIMIT
    }

    /** What a {@link TaskObserved} event reports. */
    enum ObservationKind {
        /** The task has started; the value has no meaning. */
        RUNNING,
        CORES_USED,
        MEMORY_USED,
        /** What the task has served; the policy makes no use of it. */
        SERVED,
        /** The part of the machine's memory in use, 0 to 1. */
        MACHINE_MEMORY
    }

    /**
     * A class of tasks.
     *
     * @param keyScope the machines that share idempotency keys
     * @param keyWindowMicros how long they remember a key
     * @param latencyObjectiveMicros how soon after its request a task should have started
     * @param deadlineMicros how long after its request a start is still of use
     * @param priorityWeight the value of a start in time, relative to other classes
     * @param lateValue the part of that value that a start after the objective has, 0 to 1
     * @param startSeconds the usual work of a start with set-up, in seconds
     * @param contentionThreshold the part of a machine's cores in use from which tasks slow down
     * @param contentionRange how far beyond the threshold the slow-down is complete
     * @param priority tasks of a higher priority may preempt those of a lower one
     * @param requiredKind index of the machine kind that its tasks require, -1 for any
     * @param spreadScope the scope over which tasks of one service are spread, NONE for none
     * @param maxTasksPerScope how many tasks of one service a scope may run, if there is a scope
     */
    record TaskClass(
            String name,
            Idempotency idempotency,
            TopologyScope keyScope,
            long keyWindowMicros,
            long latencyObjectiveMicros,
            long deadlineMicros,
            double priorityWeight,
            double lateValue,
            double startSeconds,
            double contentionThreshold,
            double contentionRange,
            int priority,
            int requiredKind,
            TopologyScope spreadScope,
            int maxTasksPerScope) {
        public TaskClass {
            Require.present("class name", name);
            Require.present("class idempotency", idempotency);
            Require.present("class keyScope", keyScope);
            Require.present("class spreadScope", spreadScope);
            Require.positive("class deadlineMicros", deadlineMicros);
            Require.notNegative("class keyWindowMicros", keyWindowMicros);
            Require.finite("class priorityWeight", priorityWeight);
            Require.finite("class lateValue", lateValue);
            Require.finite("class startSeconds", startSeconds);
            Require.finite("class contentionThreshold", contentionThreshold);
            Require.finite("class contentionRange", contentionRange);
            Require.notNegative("class maxTasksPerScope", maxTasksPerScope);
        }
    }

    /** A kind of machine: its name in list entries, and its size. */
    record MachineKind(String name, double cores, double memory) {
        public MachineKind {
            Require.present("machine kind name", name);
            Require.finite("machine kind cores", cores);
            Require.finite("machine kind memory", memory);
        }
    }

    /**
     * A tenant.
     *
     * @param share its fair share, relative to other tenants
     * @param quotaCores its quota of requested cores over all placers, 0 for none
     */
    record Tenant(String name, double share, double quotaCores) {
        public Tenant {
            Require.present("tenant name", name);
            Require.finite("tenant share", share);
            Require.finite("tenant quotaCores", quotaCores);
        }
    }

    /**
     * What each thing that its component names costs, relative to the value of a request.
     *
     * @param machineInUse a machine in use; 0 where load should be spread over all machines
     * @param evictionInMigrations an eviction, as a multiple of a migration
     */
    record CostWeights(
            double machineInUse,
            double migration,
            double waste,
            double crossZone,
            double healthCheck,
            double listEntry,
            double rejectedOffer,
            double evictionInMigrations) {
        public CostWeights {
            Require.finite("cost machineInUse", machineInUse);
            Require.finite("cost migration", migration);
            Require.finite("cost waste", waste);
            Require.finite("cost crossZone", crossZone);
            Require.finite("cost healthCheck", healthCheck);
            Require.finite("cost listEntry", listEntry);
            Require.finite("cost rejectedOffer", rejectedOffer);
            Require.finite("cost evictionInMigrations", evictionInMigrations);
        }
    }

    /**
     * The rules that a placer must keep.
     *
     * @param answerGraceMicros how long after {@code maxWaitMicros} a final answer may still come
     * @param drainGraceMicros how long after a list message a draining machine may get offers
     * @param listRequestDeadlineMicros how soon after a failure the list must be requested again
     * @param slowStartInitialShare the part of its usual pace that a machine has at first, 0 to 1
     * @param slowStartMicros how long after its start a machine is warming up
     * @param slowStartMultiple how many times what it can start a machine that is warming up bears
     * @param slowStartWindowMicros the window within which offers to such a machine are counted
     * @param slowStartOffers the offers from all placers in one window that it always bears
     */
    record Rules(
            long answerGraceMicros,
            long drainGraceMicros,
            long listRequestDeadlineMicros,
            double slowStartInitialShare,
            long slowStartMicros,
            double slowStartMultiple,
            long slowStartWindowMicros,
            double slowStartOffers) {
        public Rules {
            Require.notNegative("rule answerGraceMicros", answerGraceMicros);
            Require.notNegative("rule drainGraceMicros", drainGraceMicros);
            Require.notNegative("rule listRequestDeadlineMicros", listRequestDeadlineMicros);
            Require.notNegative("rule slowStartMicros", slowStartMicros);
            Require.notNegative("rule slowStartWindowMicros", slowStartWindowMicros);
            Require.finite("rule slowStartOffers", slowStartOffers);
            Require.finite("rule slowStartInitialShare", slowStartInitialShare);
            Require.finite("rule slowStartMultiple", slowStartMultiple);
        }
    }

    /**
     * What a placer may do.
     *
     * @param retryAfter whether a rejection may say when to retry
     * @param hedgedRequests whether a task may have a second attempt while the first is in flight
     * @param maxRetryAfterMicros the longest time after which a rejection may say to retry
     */
    record Limits(
            boolean healthChecks,
            boolean cancellation,
            boolean retryAfter,
            boolean hedgedRequests,
            int maxAttempts,
            long maxRetryAfterMicros) {
        public Limits {
            Require.positive("limit maxAttempts", maxAttempts);
        }
    }

    /**
     * Everything that a placer gets at its start. The seed is that of its random numbers.
     *
     * @param instanceIndex its number among all placers, from 0
     * @param classes the task classes; a request that names none of them is of the first
     * @param reportsMeasureUsage whether load reports count what tasks use; else what they request
     * @param listShowsFreeCapacity whether list entries show the free capacity
     * @param listNeedsSubscription whether list messages come only after {@link Subscribe}
     * @param acceptedWhenRunning whether machines accept a task only when it runs
     * @param observesTasks whether there are {@link TaskObserved} events
     * @param preempts whether machines preempt tasks of lower priority
     * @param onePlacerPerService whether all tasks of a service come to the same placer
     * @param coresOvercommit the requested cores that machines accept, as a multiple of their own
     * @param memoryOvercommit the same for memory
     * @param meanTaskCores the mean of requested cores; {@code meanTaskMemory} of memory
     * @param overQuotaWeight the factor of the priority weight for tasks over their tenant's quota
     * @param clientRetryMicros how long clients wait before they request a task again
     */
    record Settings(
            long seed,
            int instanceIndex,
            int instanceCount,
            String zone,
            List<TaskClass> classes,
            List<MachineKind> machineKinds,
            List<Tenant> tenants,
            LoadReportMode loadReportMode,
            boolean reportsMeasureUsage,
            boolean listShowsFreeCapacity,
            boolean listNeedsSubscription,
            boolean acceptedWhenRunning,
            boolean observesTasks,
            boolean preempts,
            boolean onePlacerPerService,
            double coresOvercommit,
            double memoryOvercommit,
            double meanTaskCores,
            double meanTaskMemory,
            double overQuotaWeight,
            long clientRetryMicros,
            CostWeights costWeights,
            Rules rules,
            Limits limits) {
        public Settings {
            Require.positive("instances", instanceCount);
            Require.notNegative("instanceIndex", instanceIndex);
            Require.present("zone", zone);
            Require.notEmpty("classes", classes);
            Require.notEmpty("machineKinds", machineKinds);
            Require.present("tenants", tenants);
            Require.present("loadReportMode", loadReportMode);
            Require.positive("coresOvercommit", coresOvercommit);
            Require.positive("memoryOvercommit", memoryOvercommit);
            Require.positive("meanTaskCores", meanTaskCores);
            Require.positive("meanTaskMemory", meanTaskMemory);
            Require.notNegative("overQuotaWeight", overQuotaWeight);
            Require.present("costWeights", costWeights);
            Require.present("rules", rules);
            Require.present("limits", limits);
            classes = List.copyOf(classes);
            machineKinds = List.copyOf(machineKinds);
            tenants = List.copyOf(tenants);
        }
    }

    /**
     * One entry of the endpoint list.
     *
     * @param kind the name of its kind; its size is unknown if the settings have no such kind
     * @param freeCores the free cores, NaN where not shown; {@code freeMemory} likewise
     * @param weight its weight relative to other machines; the policy makes no use of it
     * @param startedAtMicros when it last started, 0 for long ago
     */
    record MachineEntry(
            String machine,
            String zone,
            String kind,
            int cell,
            MachineState state,
            double freeCores,
            double freeMemory,
            double weight,
            long startedAtMicros) {}

    /**
     * A client's request to place a task, which requests cores and memory.
     *
     * @param tenant the name of its tenant, null for none
     * @param task the id of the task, the same for each request to place it
     * @param maxWaitMicros how long the client waits for the final answer
     * @param expectedRunMicros how long the task is expected to run, 0 if unknown
     * @param retry whether the client has requested the task before
     */
    record PlacementRequest(
            String id,
            String taskClass,
            String tenant,
            String task,
            long maxWaitMicros,
            long expectedRunMicros,
            String service,
            double cores,
            double memory,
            boolean retry) {}

    /** Something that has happened. */
    sealed interface Event {}

    /** A message of the endpoint list; it has no entries where the kind is FAILED. */
    record MachineListUpdated(long version, ListUpdateKind kind, List<MachineEntry> entries)
            implements Event {}

    /** A client requests a placement. */
    record PlacementRequested(PlacementRequest request) implements Event {}

    /** A task that is running already is this placer's from now on, as its attempt 0. */
    record TaskAdopted(PlacementRequest request, String machine) implements Event {}

    /** An observation of a running task; the kind says what the value is. */
    record TaskObserved(
            String requestId, int attempt, String machine, ObservationKind kind, double value)
            implements Event {}

    /** The machine has accepted the task after this time, which is its final answer. */
    record AttemptAccepted(String requestId, int attempt, String machine, long waitedMicros)
            implements Event {}

    /**
     * The one outcome of an attempt, and how long it took.
     *
     * @param settled whether no final answer is owed any more
     * @param report the machine's load report, null where it sent none
     */
    record AttemptEnded(
            String requestId,
            int attempt,
            String machine,
            AttemptOutcome outcome,
            long waitedMicros,
            boolean settled,
            OutcomeReason reason,
            LoadReport report)
            implements Event {}

    /** The result of a health check and how long it took; the report is null where none came. */
    record HealthCheckCompleted(
            String machine, boolean answered, long waitedMicros, LoadReport report)
            implements Event {}

    /** The client does not wait for the final answer any more. */
    record ClientDisconnected(String requestId) implements Event {}

    /** The time of a {@link SetTimer} has come; {@code ref} is the timer's. */
    record TimerFired(long ref) implements Event {}

    /** Something that the host is to do. */
    sealed interface Action {}

    /** Offer the task to a machine, as the next attempt; the first one has the number 0. */
    record Offer(String requestId, String machine, long timeoutMicros) implements Action {}

    /** Cancel an attempt. */
    record Cancel(String requestId, int attempt) implements Action {}

    /** Stop a running task; its client requests a placement again soon. */
    record Migrate(String requestId) implements Action {}

    /** A final answer: not placed, safe to retry, best after this time (0 for no hint). */
    record Reject(String requestId, long retryAfterMicros) implements Action {}

    /** A final answer: not placed, though an attempt may have run; a retry may not be safe. */
    record Fail(String requestId) implements Action {}

    /** Check a machine's health. */
    record CheckHealth(String machine) implements Action {}

    /** Send a {@link TimerFired} event with this {@code ref} at this time. */
    record SetTimer(long atMicros, long ref) implements Action {}

    /** Begin or end the subscription to the endpoint list. */
    record Subscribe(boolean enabled) implements Action {}

    /** Request a full endpoint list. */
    record FetchList() implements Action {}

    /** Write a message to the log. */
    record Log(String message) implements Action {}

    /**
     * The task is pending, since no machine may get an offer of it now. Sent again whenever the
     * reasons change. For information alone.
     *
     * @param machinesByReason the number of ready machines by ordinal of {@link FilterReason}
     * @param closestMachine the machine that lacks the least capacity, empty if none lacks any
     * @param missingCores the cores that it lacks at least; {@code missingMemory} likewise
     */
    record Pending(
            String requestId,
            List<Integer> machinesByReason,
            String closestMachine,
            double missingCores,
            double missingMemory)
            implements Action {}
}
