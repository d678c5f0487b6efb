package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.List;
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

/** Settings and a held clock for tests of the module through its interface. */
public final class PolicyFixtures {
    static final long MS = 1_000;
    static final long SECOND = 1_000_000;

    long seed = 7;
    int number;
    int instances = 1;
    LoadReportMode reports = LoadReportMode.NONE;
    boolean countsUsed;
    boolean listsRoom = true;
    boolean mustAsk;
    boolean running;
    double fleetPrice;
    double coldOffers = 40;
    int attempts = 4;
    boolean probes = true;
    double probePrice = 0.003;
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
            Idempotency effect,
            TopologyScope key,
            double worth,
            TopologyScope spread,
            int most) {
        return new TaskClass(
                name,
                effect,
                key,
                5 * SECOND,
                SECOND,
                8 * SECOND,
                worth,
                0.1,
                12,
                1.0,
                1.0,
                0,
                -1,
                spread,
                most);
    }

    Settings settings() {
        return new Settings(
                seed,
                number,
                instances,
                "a",
                classes,
                List.of(new MachineKind("std", 20, 40)),
                List.of(),
                reports,
                countsUsed,
                listsRoom,
                mustAsk,
                running,
                false,
                false,
                false,
                1,
                1,
                1,
                2,
                0.1,
                3 * SECOND,
                new CostWeights(fleetPrice, 0.08, 0.03, 0, probePrice, 0.004, 0.02, 2),
                new Rules(
                        8 * MS,
                        500 * MS,
                        10 * SECOND,
                        0.25,
                        16 * SECOND,
                        2,
                        3 * SECOND,
                        coldOffers),
                new Limits(probes, true, true, false, attempts, 3 * SECOND));
    }

    static MachineEntry machine(
            String id, String zone, MachineState state, double coresFree, long started) {
        return new MachineEntry(id, zone, "std", 1, state, coresFree, coresFree * 2, 1, started);
    }

    static MachineEntry ready(String id, String zone, double coresFree) {
        return machine(id, zone, MachineState.READY, coresFree, 0);
    }

    static MachineListUpdated full(MachineEntry... entries) {
        return new MachineListUpdated(1, ListUpdateKind.FULL, List.of(entries));
    }

    static MachineListUpdated delta(MachineEntry... entries) {
        return new MachineListUpdated(2, ListUpdateKind.DELTA, List.of(entries));
    }

    static PlacementRequested ask(String id, String taskClass, double cores) {
        return ask(id, taskClass, cores, 8 * SECOND);
    }

    static PlacementRequested ask(String id, String taskClass, double cores, long patience) {
        return new PlacementRequested(
                new PlacementRequest(
                        id, taskClass, null, "t-" + id, patience, 0, "service", cores, cores,
                        false));
    }

    static AttemptEnded ended(
            Offer offer, int attempt, AttemptOutcome outcome, OutcomeReason reason) {
        return new AttemptEnded(
                offer.requestId(), attempt, offer.machine(), outcome, 50 * MS, false, reason, null);
    }

    /** One instance with its clock; timers fire when the test moves the clock past them. */
    static final class Script {
        final Placement module;
        final List<Action> actions = new ArrayList<>();
        final List<Long> timers = new ArrayList<>();
        long now = 1_000 * SECOND;
        int fired;

        Script(PolicyFixtures fixtures) {
            module = new Policy(fixtures.settings());
        }

        /** Sends one event; returns what it led to, timers left out. */
        List<Action> send(Event event) {
            List<Action> led = new ArrayList<>();
            module.on(
                    now,
                    event,
                    action -> {
                        if (action instanceof SetTimer timer) {
                            timers.add(timer.atMicros());
                        } else {
                            led.add(action);
                        }
                    });
            actions.addAll(led);
            return led;
        }

        Offer offer(Event event) {
            return send(event).stream()
                    .filter(Offer.class::isInstance)
                    .map(Offer.class::cast)
                    .findFirst()
                    .orElse(null);
        }

        /** Lets time pass, firing timers as they fall due. */
        List<Action> pass(long time) {
            List<Action> led = new ArrayList<>();
            long end = now + time;
            while (true) {
                long due = timers.stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
                if (due > end) {
                    break;
                }
                timers.remove(due);
                now = due;
                fired++;
                led.addAll(send(new TimerFired(0)));
            }
            now = end;
            return led;
        }
    }
}
