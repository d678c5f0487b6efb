package thornferry.decisions.placement;

import java.util.List;
import java.util.function.Consumer;

/**
 * The interface of the placement policy: its settings, events and actions.
 *
 * <p>One instance decides for one placer. The host of the instance passes it every event with the
 * current time and executes the actions in order. An instance is not thread-safe. Times and
 * durations are in microseconds, amounts of memory in the unit of the settings. Each request has
 * one result unless its client disconnects: a machine accepts the task, or the host must {@link
 * Reject} or {@link Fail} the request.
 */
public interface Placement {
    /**
     * Processes one event and passes the actions that follow from it to {@code actions}, in order.
     *
     * @param nowMicros the current time, which must not decrease from one call to the next
     */
    void handle(long nowMicros, Event event, Consumer<Action> actions);

    /** The condition under which a task may be started again after an attempt that may have run. */
    enum Idempotency {
        /** The task may be started again on any machine. */
        IDEMPOTENT,
        /** The task may be started again where its key is known: see {@link TaskClass#keyScope}. */
        IDEMPOTENT_WITH_KEY,
        /** The task must not be started again. */
        NON_IDEMPOTENT
    }

    /** A set of machines that share idempotency keys or over which a service is spread. */
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
        /** Reports come with the outcomes of attempts and the results of health checks. */
        WITH_RESPONSES,
        /** Reports come with the results of health checks alone. */
        ON_HEALTH_CHECK
    }

    /** The content of a message of the endpoint list. */
    enum ListUpdateKind {
        /** All machines as last known to the sender, possibly out of date. */
        CACHED,
        FULL,
        /** The machines that have changed. */
        DELTA,
        /** No machines, since a request to the list or the subscription failed. */
        FAILED
    }

    /** The state of a machine in the endpoint list. Only a READY machine may get offers. */
    enum MachineState {
        GONE,
        READY,
        DRAINING
    }

    /** The way in which an attempt ended. */
    enum AttemptOutcome {
        COMPLETED(false),
        ERROR(false),
        /** The machine did not accept the task; see {@link OutcomeReason}. */
        REJECTED(true),
        TIMED_OUT(false),
        /** No connection to the machine could be established. */
        UNREACHABLE(true),
        /** The connection or the machine was lost. */
        LOST(false),
        CANCELLED(false),
        /** The host did not send the offer. */
        NOT_SENT(true);

        /** True if the outcome proves that the task never ran. */
        public final boolean neverRan;

        AttemptOutcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** The reason for an outcome, NONE if the machine gave no reason. */
    enum OutcomeReason {
        NONE,
        INSUFFICIENT_CORES,
        INSUFFICIENT_MEMORY,
        /** Too many accepted tasks are waiting to be started. */
        QUEUE_FULL,
        /** The machine takes no tasks, or has the task's idempotency key from another attempt. */
        UNAVAILABLE,
        /** The machine ran out of memory and stopped the task. */
        EVICTED,
        /** The machine stopped the task in favor of one with a higher priority. */
        PREEMPTED,
        /** The machine stopped its tasks, usually in order to shut down. */
        EVACUATED
    }

    /** The reason why a ready machine is not eligible for a pending task; see {@link Pending}. */
    enum FilterReason {
        /** The machine would lack capacity even if it were empty. */
        MACHINE_TOO_SMALL,
        /** The machine is not of the kind that the class requires. */
        WRONG_KIND,
        INSUFFICIENT_CORES,
        INSUFFICIENT_MEMORY,
        /** The machine has rejected a task no larger for lack of capacity since its last report. */
        RECENTLY_REJECTED,
        /** The machine is ejected as an outlier. */
        MACHINE_EJECTED,
        /** The machine is ejected as an outlier for the task's class alone. */
        CLASS_EJECTED,
        /** The machine has just rejected a task because too many are waiting to be started. */
        QUEUE_FULL,
        /** An earlier attempt of this task failed on the machine. */
        PREVIOUS_ATTEMPT_FAILED,
        /** The machine does not share the idempotency key of an attempt that may have run. */
        OUTSIDE_KEY_SCOPE,
        /** The machine is in slow start and has received this placer's share of offers. */
        WARMING_UP,
        /** The machine's scope already runs as many tasks of the service as the class allows. */
        SPREAD_LIMIT
    }

    /** The quantity that a {@link TaskObserved} event reports. */
    enum ObservationKind {
        /** The start of the task; the value has no meaning. */
        RUNNING,
        CORES_USED,
        MEMORY_USED,
        /** The work that the task has served. The policy ignores it. */
        SERVED,
        /** The fraction of the machine's memory in use, 0 to 1. */
        MACHINE_MEMORY
    }

    /**
     * A class of tasks.
     *
     * @param keyScope the machines that share idempotency keys
     * @param keyWindowMicros how long the machines of the key scope remember a key
     * @param latencyObjectiveMicros how soon after its request a task should have started
     * @param deadlineMicros how long after its request a start still has a value
     * @param priorityWeight the relative value of a start within the latency objective
     * @param lateValue the fraction of that value that a start after the objective has, 0 to 1
     * @param startSeconds the usual work of a start with set-up, in seconds
     * @param contentionThreshold the fraction of cores in use above which tasks slow down
     * @param contentionRange how far above the threshold the slow-down reaches its maximum
     * @param priority tasks of a higher priority may preempt those of a lower one
     * @param requiredKind the index of the machine kind that tasks of the class require, -1 for any
     * @param spreadScope the scope over which tasks of one service are spread, NONE for none
     * @param maxTasksPerScope how many tasks of one service each spread scope may run
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

    /** A kind of machine: the name that list entries use for it, and its size. */
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
     * @param share the tenant's fair share, relative to other tenants
     * @param quotaCores the tenant's quota of requested cores over all placers, 0 for none
     */
    record Tenant(String name, double share, double quotaCores) {
        public Tenant {
            Require.present("tenant name", name);
            Require.finite("tenant share", share);
            Require.finite("tenant quotaCores", quotaCores);
        }
    }

    /**
     * The costs of what the components name, each relative to the value of a request.
     *
     * @param machineInUse the cost of a machine in use; 0 if load should be spread widely
     * @param evictionInMigrations the cost of an eviction, as a multiple of that of a migration
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
     * @param answerGraceMicros how long after {@code maxWaitMicros} a result may still be sent
     * @param drainGraceMicros how long after a list message a draining machine may get offers
     * @param listRequestDeadlineMicros how soon after a failure the list must be requested again
     * @param slowStartInitialShare the initial fraction of a machine's normal start rate, 0 to 1
     * @param slowStartMicros how long after its start a machine is warming up
     * @param slowStartMultiple the limit on offers, as a multiple of the machine's start rate
     * @param slowStartWindowMicros the window within which offers to such a machine are counted
     * @param slowStartOffers the offers that all placers together may always send in one window
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
     * The actions that a placer may take, and their limits.
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
     * The settings that a placer gets at its start. Its random numbers are drawn from the seed.
     *
     * @param instanceIndex the number of this placer among all placers, from 0
     * @param classes the task classes; a request that names none of them belongs to the first one
     * @param reportsMeasureUsage whether load reports count used rather than requested resources
     * @param listShowsFreeCapacity whether list entries show the free capacity
     * @param listNeedsSubscription whether list messages come only after {@link Subscribe}
     * @param acceptedWhenRunning whether machines accept a task only once it runs
     * @param observesTasks whether there are {@link TaskObserved} events
     * @param preempts whether machines preempt tasks of lower priority
     * @param onePlacerPerService whether all requests for a service are sent to the same placer
     * @param coresOvercommit the requested cores that a machine accepts, as a multiple of its size
     * @param memoryOvercommit the same for memory
     * @param meanTaskCores the mean of requested cores; {@code meanTaskMemory} likewise
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
     * @param kind the name of the machine kind; the size is unknown if the settings lack it
     * @param freeCores the free cores, NaN if not shown; {@code freeMemory} likewise
     * @param weight the machine's weight relative to other machines. The policy ignores it
     * @param startedAtMicros when the machine last started, 0 for long ago
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
     * A client's request to place a task, with the cores and memory that the task requests.
     *
     * @param tenant the name of the task's tenant, null for none
     * @param task the id of the task, the same for each request to place it
     * @param maxWaitMicros how long the client waits for the result
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

    /** An event that the host passes to the policy. */
    sealed interface Event {}

    /** A message of the endpoint list. It has no entries if the kind is FAILED. */
    record MachineListUpdated(long version, ListUpdateKind kind, List<MachineEntry> entries)
            implements Event {}

    /** A client requests a placement. */
    record PlacementRequested(PlacementRequest request) implements Event {}

    /** A task that is already running now belongs to this placer, as its attempt 0. */
    record TaskAdopted(PlacementRequest request, String machine) implements Event {}

    /** An observation of a running task. The kind defines what the value is. */
    record TaskObserved(
            String requestId, int attempt, String machine, ObservationKind kind, double value)
            implements Event {}

    /** The machine has accepted the task after this time, which is the result of the request. */
    record AttemptAccepted(String requestId, int attempt, String machine, long elapsedMicros)
            implements Event {}

    /**
     * The outcome of an attempt, exactly one for each, and the time that the attempt took.
     *
     * @param hasResult whether the request has had its result
     * @param report the machine's load report, null if it sent none
     */
    record AttemptEnded(
            String requestId,
            int attempt,
            String machine,
            AttemptOutcome outcome,
            long elapsedMicros,
            boolean hasResult,
            OutcomeReason reason,
            LoadReport report)
            implements Event {}

    /** The result of a health check and the time that it took. The report is null if none came. */
    record HealthCheckCompleted(
            String machine, boolean responded, long elapsedMicros, LoadReport report)
            implements Event {}

    /** The client has disconnected and no longer waits for the result. */
    record ClientDisconnected(String requestId) implements Event {}

    /** The timer that {@link SetTimer} set with this {@code ref} has fired. */
    record TimerFired(long ref) implements Event {}

    /** An action that the host must execute. */
    sealed interface Action {}

    /** Offer the task to a machine, as the next attempt. The first attempt has the number 0. */
    record Offer(String requestId, String machine, long timeoutMicros) implements Action {}

    /** Cancel an attempt. */
    record Cancel(String requestId, int attempt) implements Action {}

    /** Stop a running task, whose client then requests a new placement. */
    record Migrate(String requestId) implements Action {}

    /** Reject the request: a retry is safe, preferably after this time (0 for no hint). */
    record Reject(String requestId, long retryAfterMicros) implements Action {}

    /** Fail the request: an attempt may have run, so that a retry may not be safe. */
    record Fail(String requestId) implements Action {}

    /** Check a machine's health. */
    record CheckHealth(String machine) implements Action {}

    /** Pass a {@link TimerFired} event with this {@code ref} at {@code atMicros}. */
    record SetTimer(long atMicros, long ref) implements Action {}

    /** Start or end the subscription to the endpoint list. */
    record Subscribe(boolean enabled) implements Action {}

    /** Request a full endpoint list. */
    record FetchList() implements Action {}

    /** Write a message to the log. */
    record Log(String message) implements Action {}

    /**
     * Report why the task is pending, whenever the reasons change. The host need not act on it.
     *
     * @param machinesByReason the number of ready machines by ordinal of {@link FilterReason}
     * @param closestMachine the machine that lacks the least capacity, empty if there is none
     * @param missingCores the cores that the closest machine lacks; {@code missingMemory} likewise
     */
    record Pending(
            String requestId,
            List<Integer> machinesByReason,
            String closestMachine,
            double missingCores,
            double missingMemory)
            implements Action {}
}
