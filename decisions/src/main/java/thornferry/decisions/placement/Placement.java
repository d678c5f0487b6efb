package thornferry.decisions.placement;

import java.util.List;
import java.util.function.Consumer;

/**
 * The interface of the placement module: what a placer is told, and what it may do.
 *
 * <p>One instance decides for one placer. Its host hands it every event together with the present
 * time and carries out the actions in the order given. All times and durations are microseconds;
 * {@code now} never goes back.
 */
public interface Placement {

    /**
     * Takes one event and hands to {@code actions}, in order, whatever is to be done at this very
     * moment.
     */
    void on(long now, Event event, Consumer<Action> actions);

    /** Whether a second start of a task does harm. */
    enum Idempotency {
        IDEMPOTENT,
        IDEMPOTENT_WITH_KEY,
        NON_IDEMPOTENT
    }

    /**
     * A set of machines that belong together: for dropping the repeats of a key, or for spreading a
     * service.
     */
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
        WITH_RESPONSES,
        ON_HEALTH_CHECK
    }

    /**
     * What a list message holds: all machines (as last held, or fresh), changed ones only, or
     * nothing.
     */
    enum ListUpdateKind {
        CACHED,
        FULL,
        DELTA,
        FAILED
    }

    enum MachineState {
        GONE,
        READY,
        DRAINING
    }

    /** How an attempt ended. */
    enum AttemptOutcome {
        COMPLETED(false),
        ERROR(false),
        REJECTED(true),
        TIMED_OUT(false),
        UNREACHABLE(true),
        LOST(false),
        CANCELLED(false),
        NOT_SENT(true);

        /** True where the outcome proves that the task never ran. */
        public final boolean neverRan;

        AttemptOutcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Why an attempt ended so, where told. */
    enum OutcomeReason {
        NONE,
        INSUFFICIENT_CORES,
        INSUFFICIENT_MEMORY,
        QUEUE_FULL,
        UNAVAILABLE,
        EVICTED,
        PREEMPTED,
        EVACUATED
    }

    /** Why a listed, ready machine gets no offer of a held task now; see {@link PendingAppend}. */
    enum FilterReason {
        MACHINE_TOO_SMALL,
        WRONG_KIND,
        INSUFFICIENT_CORES,
        INSUFFICIENT_MEMORY,
        RECENTLY_REJECTED,
        MACHINE_EJECTED,
        CLASS_EJECTED,
        QUEUE_FULL,
        PREVIOUS_ATTEMPT_FAILED,
        OUTSIDE_KEY_SCOPE,
        WARMING_UP,
        SPREAD_LIMIT
    }

    enum ObservationKind {
        RUNNING,
        CORES_USED,
        MEMORY_USED,
        SERVED,
        MACHINE_MEMORY
    }

    /**
     * A class of tasks. {@code maxTasksPerScope} counts only where {@code spreadScope} is not NONE;
     * kind -1 means any.
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
            check(name != null, "class name");
            check(idempotency != null, "class effect");
            check(keyScope != null && spreadScope != null, "class scope");
            check(deadlineMicros > 0, "class deadline");
            check(keyWindowMicros >= 0, "class key window");
            check(
                    finite(priorityWeight) && finite(lateValue) && finite(startSeconds),
                    "class worth");
            check(finite(contentionThreshold) && finite(contentionRange), "class calm level");
            check(maxTasksPerScope >= 0, "class spread most");
        }
    }

    record MachineKind(String name, double cores, double memory) {
        public MachineKind {
            check(name != null, "machine kind name");
            check(finite(cores) && finite(memory), "machine kind size");
        }
    }

    /**
     * A tenant; {@code missingCores} is what it may ask for over all placers inside its share, 0
     * where not told.
     */
    record Tenant(String name, double share, double quotaCores) {
        public Tenant {
            check(name != null, "tenant name");
            check(finite(share) && finite(quotaCores), "tenant share");
        }
    }

    record CostWeights(
            double fleet,
            double migration,
            double waste,
            double crossZone,
            double healthCheck,
            double listEntry,
            double rejectedOffer,
            double evictionInMigrations) {
        public CostWeights {
            check(
                    finite(fleet)
                            && finite(migration)
                            && finite(waste)
                            && finite(crossZone)
                            && finite(healthCheck)
                            && finite(listEntry)
                            && finite(rejectedOffer)
                            && finite(evictionInMigrations),
                    "prices");
        }
    }

    /**
     * The figures of the rules; {@code slowStartOffers} within {@code slowStartWindowMicros} are
     * always borne.
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
            check(
                    answerGraceMicros >= 0
                            && drainGraceMicros >= 0
                            && listRequestDeadlineMicros >= 0,
                    "rules grace");
            check(
                    slowStartMicros >= 0 && slowStartWindowMicros >= 0 && finite(slowStartOffers),
                    "rules cold machine");
            check(finite(slowStartInitialShare) && finite(slowStartMultiple), "rules cold machine");
        }
    }

    record Limits(
            boolean healthChecks,
            boolean cancellation,
            boolean retryAfter,
            boolean retries,
            int maxAttempts,
            long maxRetryAfterMicros) {
        public Limits {
            check(maxAttempts > 0, "limits attempts");
        }
    }

    /**
     * Everything that a placer is told at its start. {@code reportNames} order the values of a load
     * report.
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
            boolean singlePreferredMachine,
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
            check(instanceCount > 0, "instances");
            check(instanceIndex >= 0, "number");
            check(zone != null, "zone");
            check(classes != null && !classes.isEmpty(), "classes");
            check(machineKinds != null && !machineKinds.isEmpty(), "kinds");
            check(tenants != null, "tenants");
            check(loadReportMode != null, "reports");
            check(finite(coresOvercommit) && coresOvercommit > 0, "acceptCores");
            check(finite(memoryOvercommit) && memoryOvercommit > 0, "acceptMemory");
            check(finite(meanTaskCores) && meanTaskCores > 0, "meanCores");
            check(finite(meanTaskMemory) && meanTaskMemory > 0, "meanMemory");
            check(finite(overQuotaWeight) && overQuotaWeight >= 0, "overShareWorth");
            check(costWeights != null, "prices");
            check(rules != null, "rules");
            check(limits != null, "limits");
            classes = List.copyOf(classes);
            machineKinds = List.copyOf(machineKinds);
            tenants = List.copyOf(tenants);
        }
    }

    /**
     * One line of the machine list; {@code startedAtMicros} is the last start's time, 0 for long
     * ago; room NaN if not told.
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
     * A task as its owner asks for it; {@code maxWaitMicros} until it stops waiting, {@code
     * expectedRunMicros} 0 if unknown.
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

    sealed interface Event {}

    record MachineListUpdated(long version, ListUpdateKind kind, List<MachineEntry> entries)
            implements Event {}

    record PlacementRequested(PlacementRequest request) implements Event {}

    /** A task that runs already and is now this placer's to look after, as its attempt 0. */
    record TaskAdopted(PlacementRequest request, String machine) implements Event {}

    record TaskObserved(
            String requestId, int attempt, String machine, ObservationKind kind, double value)
            implements Event {}

    record AttemptAccepted(String requestId, int attempt, String machine, long waitedMicros)
            implements Event {}

    /**
     * The one outcome of an attempt; {@code settled} when nothing more is owed. A report may be
     * null.
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

    record HealthCheckCompleted(
            String machine, boolean answered, long waitedMicros, LoadReport report)
            implements Event {}

    record ClientDisconnected(String requestId) implements Event {}

    record TimerFired(long ref) implements Event {}

    sealed interface Action {}

    /** Offers the task to a machine; attempts are numbered 0, 1, 2 ... in order. */
    record Offer(String requestId, String machine, long timeoutMicros) implements Action {}

    record Cancel(String requestId, int attempt) implements Action {}

    /** Stops a placed task; its owner soon asks anew. */
    record Migrate(String requestId) implements Action {}

    /** A final no that says trying again is harmless; {@code retryAfterMicros} 0 gives no hint. */
    record Reject(String requestId, long retryAfterMicros) implements Action {}

    /** A final no that promises nothing. */
    record Fail(String requestId) implements Action {}

    record CheckHealth(String machine) implements Action {}

    record SetTimer(long atMicros, long ref) implements Action {}

    record Subscribe(boolean enabled) implements Action {}

    record FetchList() implements Action {}

    record Log(String message) implements Action {}

    /**
     * The task is held, for no machine will do now; told again whenever that changes. Nothing is to
     * be done.
     *
     * @param machinesByReason how many ready machines there are for each {@link FilterReason}, in
     *     the order of its constants
     * @param closestMachine the machine that lacks the least room, empty where room is not what any
     *     lacks
     * @param missingCores what it lacks, at least
     */
    record Pending(
            String requestId,
            List<Integer> machinesByReason,
            String closestMachine,
            double missingCores,
            double missingMemory)
            implements Action {}

    private static void check(boolean good, String field) {
        if (!good) {
            throw new IllegalArgumentException("invalid setting: " + field);
        }
    }

    private static boolean finite(double value) {
        return Double.isFinite(value);
    }
}
