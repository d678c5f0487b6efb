package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import thornferry.decisions.placement.Placement.Action;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.CostWeights;
import thornferry.decisions.placement.Placement.Event;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.Limits;
import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineKind;
import thornferry.decisions.placement.Placement.MachineListUpdated;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.PlacementRequested;
import thornferry.decisions.placement.Placement.Rules;
import thornferry.decisions.placement.Placement.SetTimer;
import thornferry.decisions.placement.Placement.Settings;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.placement.Placement.TimerFired;
import thornferry.decisions.placement.Placement.TopologyScope;

/** Settings, events and a simulated clock for tests that use the policy through its interface. */
public final class PolicyFixtures {
    static final long MILLISECOND = 1_000;
    static final long SECOND = 1_000_000;

    long seed = 7;
    int instanceIndex;
    int instanceCount = 1;
    LoadReportMode loadReportMode = LoadReportMode.NONE;
    boolean reportsMeasureUsage;
    boolean listShowsFreeCapacity = true;
    boolean listNeedsSubscription;
    boolean acceptedWhenRunning;
    double machineInUseCost;
    double slowStartOffers = 40;
    int maxAttempts = 4;
    boolean healthChecks = true;
    double healthCheckCost = 0.003;
    public List<TaskClass> classes =
            new ArrayList<>(
                    List.of(
                            taskClass(
                                    "safe",
                                    Idempotency.IDEMPOTENT,
                                    TopologyScope.ALL,
                                    5,
                                    TopologyScope.NONE,
                                    0),
                            taskClass(
                                    "keyed",
                                    Idempotency.IDEMPOTENT_WITH_KEY,
                                    TopologyScope.ZONE,
                                    5,
                                    TopologyScope.NONE,
                                    0),
                            taskClass(
                                    "keyedAll",
                                    Idempotency.IDEMPOTENT_WITH_KEY,
                                    TopologyScope.ALL,
                                    5,
                                    TopologyScope.NONE,
                                    0),
                            taskClass(
                                    "unsafe",
                                    Idempotency.NON_IDEMPOTENT,
                                    TopologyScope.ALL,
                                    5,
                                    TopologyScope.NONE,
                                    0),
                            taskClass(
                                    "spread",
                                    Idempotency.IDEMPOTENT,
                                    TopologyScope.ALL,
                                    5,
                                    TopologyScope.ZONE,
                                    2),
                            taskClass(
                                    "cheap",
                                    Idempotency.IDEMPOTENT,
                                    TopologyScope.ALL,
                                    1,
                                    TopologyScope.NONE,
                                    0)));

    static TaskClass taskClass(
            String name,
            Idempotency idempotency,
            TopologyScope keyScope,
            double priorityWeight,
            TopologyScope spreadScope,
            int maxTasksPerScope) {
        return new TaskClass(
                name,
                idempotency,
                keyScope,
                5 * SECOND,
                SECOND,
                8 * SECOND,
                priorityWeight,
                0.1,
                12,
                1.0,
                1.0,
                0,
                -1,
                spreadScope,
                maxTasksPerScope);
    }

    Settings settings() {
        return new Settings(
                seed,
                instanceIndex,
                instanceCount,
                "a",
                classes,
                List.of(new MachineKind("std", 20, 40)),
                List.of(),
                loadReportMode,
                reportsMeasureUsage,
                listShowsFreeCapacity,
                listNeedsSubscription,
                acceptedWhenRunning,
                false,
                false,
                false,
                1,
                1,
                1,
                2,
                0.1,
                3 * SECOND,
                new CostWeights(machineInUseCost, 0.08, 0.03, 0, healthCheckCost, 0.004, 0.02, 2),
                new Rules(
                        8 * MILLISECOND,
                        500 * MILLISECOND,
                        10 * SECOND,
                        0.25,
                        16 * SECOND,
                        2,
                        3 * SECOND,
                        slowStartOffers),
                new Limits(healthChecks, true, true, false, maxAttempts, 3 * SECOND));
    }

    static MachineEntry machine(
            String id, String zone, MachineState state, double freeCores, long startedAtMicros) {
        return new MachineEntry(
                id, zone, "std", 1, state, freeCores, freeCores * 2, 1, startedAtMicros);
    }

    static MachineEntry readyMachine(String id, String zone, double freeCores) {
        return machine(id, zone, MachineState.READY, freeCores, 0);
    }

    static MachineListUpdated fullList(MachineEntry... entries) {
        return new MachineListUpdated(1, ListUpdateKind.FULL, List.of(entries));
    }

    static MachineListUpdated deltaList(MachineEntry... entries) {
        return new MachineListUpdated(2, ListUpdateKind.DELTA, List.of(entries));
    }

    static PlacementRequested request(String id, String taskClass, double cores) {
        return request(id, taskClass, cores, 8 * SECOND);
    }

    static PlacementRequested request(
            String id, String taskClass, double cores, long maxWaitMicros) {
        return new PlacementRequested(
                new PlacementRequest(
                        id,
                        taskClass,
                        null,
                        "t-" + id,
                        maxWaitMicros,
                        0,
                        "service",
                        cores,
                        cores,
                        false));
    }

    static AttemptEnded attemptEnded(
            Offer offer, int attempt, AttemptOutcome outcome, OutcomeReason reason) {
        return new AttemptEnded(
                offer.requestId(),
                attempt,
                offer.machine(),
                outcome,
                50 * MILLISECOND,
                false,
                reason,
                null);
    }

    /** Returns a driver whose policy has received a full list of these machines. */
    PolicyDriver driverWith(MachineEntry... entries) {
        PolicyDriver driver = new PolicyDriver(this);
        driver.send(fullList(entries));
        return driver;
    }

    /** Returns entries of ready machines with the same free capacity. */
    static MachineEntry[] cluster(int size, double freeCores) {
        return IntStream.range(0, size)
                .mapToObj(i -> readyMachine("m" + i, "a", freeCores))
                .toArray(MachineEntry[]::new);
    }

    static PlacementRequested requestOfService(String id, String service) {
        return new PlacementRequested(
                new PlacementRequest(
                        id, "safe", null, "t-" + id, 8 * SECOND, 0, service, 1, 1, false));
    }

    /**
     * Returns a request for a service that no other request names, so that no machine has its
     * program.
     */
    static PlacementRequested requestOfOwnService(String id, String taskClass) {
        return new PlacementRequested(
                new PlacementRequest(
                        id, taskClass, null, "t-" + id, 8 * SECOND, 0, "s-" + id, 0.5, 0.5, false));
    }

    /** A policy with a simulated clock. Timers fire when the test advances the clock past them. */
    static final class PolicyDriver {
        final Placement policy;
        final List<Action> allActions = new ArrayList<>();
        final List<Long> dueTimers = new ArrayList<>();
        long nowMicros = 1_000 * SECOND;
        int firedTimers;

        PolicyDriver(PolicyFixtures fixtures) {
            policy = new Policy(fixtures.settings());
        }

        /** Sends one event. Returns the actions that follow from it, except timers. */
        List<Action> send(Event event) {
            List<Action> actions = new ArrayList<>();
            policy.handle(
                    nowMicros,
                    event,
                    action -> {
                        if (action instanceof SetTimer timer) {
                            dueTimers.add(timer.atMicros());
                        } else {
                            actions.add(action);
                        }
                    });
            allActions.addAll(actions);
            return actions;
        }

        /**
         * Sends one event. Returns the first offer that follows from it, or null if there is none.
         */
        Offer sendForOffer(Event event) {
            return send(event).stream()
                    .filter(Offer.class::isInstance)
                    .map(Offer.class::cast)
                    .findFirst()
                    .orElse(null);
        }

        /**
         * Advances the clock and fires the timers that become due. Returns the actions that follow.
         */
        List<Action> advance(long durationMicros) {
            List<Action> actions = new ArrayList<>();
            long endMicros = nowMicros + durationMicros;
            while (true) {
                long dueMicros =
                        dueTimers.stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
                if (dueMicros > endMicros) {
                    break;
                }
                dueTimers.remove(dueMicros);
                nowMicros = dueMicros;
                firedTimers++;
                actions.addAll(send(new TimerFired(0)));
            }
            nowMicros = endMicros;
            return actions;
        }
    }
}
