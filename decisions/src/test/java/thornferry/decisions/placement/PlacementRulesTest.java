package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thornferry.decisions.placement.PolicyFixtures.MS;
import static thornferry.decisions.placement.PolicyFixtures.SECOND;
import static thornferry.decisions.placement.PolicyFixtures.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thornferry.decisions.placement.Placement.Action;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.CheckHealth;
import thornferry.decisions.placement.Placement.Event;
import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineListUpdated;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.PlacementRequested;
import thornferry.decisions.placement.Placement.Reject;
import thornferry.decisions.placement.Placement.TaskAdopted;
import thornferry.decisions.placement.Placement.TimerFired;
import thornferry.decisions.placement.PolicyFixtures.Script;

/**
 * Random but fixed streams of events, checked by RuleChecker; and the checker itself on bad
 * actions.
 */
class PlacementRulesTest {
    private static final List<String> CLASSES =
            List.of("safe", "keyed", "keyedAll", "unsafe", "spread", "cheap");
    private static final AttemptOutcome[] UNPLACED = {
        AttemptOutcome.REJECTED,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.LOST,
        AttemptOutcome.ERROR,
        AttemptOutcome.CANCELLED
    };

    private record Out(Offer offer, int attempt, long sent) {}

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aRandomStreamBreaksNoRule(long seed) {
        Random random = new Random(seed);
        PolicyFixtures f = new PolicyFixtures();
        f.seed = seed;
        f.instances = 2;
        f.reports = LoadReportMode.values()[(int) (seed % 3)];
        f.countsUsed = seed % 2 == 0;
        f.mustAsk = seed % 4 < 2;
        Script s = new Script(f);
        RuleChecker checker = new RuleChecker(f.settings());
        List<Out> out = new ArrayList<>();
        feed(
                s,
                checker,
                out,
                new MachineListUpdated(1, ListUpdateKind.CACHED, randomList(random, s.now)));
        int ids = 0;
        for (int step = 0; step < 1500; step++) {
            pass(s, checker, out, random.nextInt(40) * MS);
            int what = random.nextInt(10);
            if (what < 5) {
                String cls = CLASSES.get(random.nextInt(CLASSES.size()));
                PlacementRequest ask =
                        new PlacementRequest(
                                "r" + ids++,
                                cls,
                                null,
                                "t",
                                (20 + random.nextInt(6000)) * MS,
                                0,
                                cls + random.nextInt(3),
                                random.nextInt(4),
                                random.nextInt(6),
                                false);
                feed(
                        s,
                        checker,
                        out,
                        random.nextInt(12) == 0
                                ? new TaskAdopted(ask, "m" + random.nextInt(9))
                                : new PlacementRequested(ask));
            } else if (what < 6) {
                MachineListUpdated list =
                        random.nextInt(8) == 0
                                ? new MachineListUpdated(1, ListUpdateKind.FAILED, List.of())
                                : new MachineListUpdated(
                                        1,
                                        random.nextBoolean()
                                                ? ListUpdateKind.FULL
                                                : ListUpdateKind.DELTA,
                                        randomList(random, s.now));
                feed(s, checker, out, list);
            } else if (!out.isEmpty()) {
                answer(s, checker, out, random, out.remove(random.nextInt(out.size())));
            }
        }
        while (!out.isEmpty()) {
            answer(s, checker, out, random, out.remove(0));
        }
        pass(s, checker, out, 20 * SECOND);
        checker.end(s.now);
        assertEquals(List.of(), checker.broken);
        assertTrue(checker.offers > 100, "the stream exercised the module: " + checker.offers);
    }

    private static List<MachineEntry> randomList(Random random, long now) {
        List<MachineEntry> entries = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            if (random.nextInt(5) > 0) {
                MachineState state =
                        random.nextInt(5) == 0 ? MachineState.DRAINING : MachineState.READY;
                long started = random.nextInt(6) == 0 ? now - random.nextInt(8) * SECOND : 0;
                entries.add(
                        machine(
                                "m" + i,
                                i % 2 == 0 ? "a" : "b",
                                state,
                                random.nextInt(21),
                                started));
            }
        }
        return entries;
    }

    private static void answer(
            Script s, RuleChecker checker, List<Out> out, Random random, Out attempt) {
        String id = attempt.offer().requestId();
        String on = attempt.offer().machine();
        if (s.now - attempt.sent() < attempt.offer().timeoutMicros() && random.nextBoolean()) {
            feed(s, checker, out, new AttemptAccepted(id, attempt.attempt(), on, 10 * MS));
            feed(
                    s,
                    checker,
                    out,
                    new AttemptEnded(
                            id,
                            attempt.attempt(),
                            on,
                            random.nextInt(4) == 0 ? AttemptOutcome.LOST : AttemptOutcome.COMPLETED,
                            SECOND,
                            true,
                            OutcomeReason.NONE,
                            LoadReport.ofFreeCapacity(random.nextInt(20), random.nextInt(40))));
            return;
        }
        AttemptOutcome outcome =
                s.now - attempt.sent() >= attempt.offer().timeoutMicros()
                        ? AttemptOutcome.TIMED_OUT
                        : UNPLACED[random.nextInt(UNPLACED.length)];
        OutcomeReason reason =
                outcome == AttemptOutcome.REJECTED
                        ? OutcomeReason.values()[random.nextInt(5)]
                        : OutcomeReason.NONE;
        feed(
                s,
                checker,
                out,
                new AttemptEnded(id, attempt.attempt(), on, outcome, 10 * MS, false, reason, null));
    }

    private static void feed(Script s, RuleChecker checker, List<Out> out, Event event) {
        checker.event(s.now, event);
        for (Action action : s.send(event)) {
            checker.action(s.now, action);
            if (action instanceof Offer offer) {
                out.add(new Out(offer, checker.attempts(offer.requestId()) - 1, s.now));
            } else if (action instanceof CheckHealth) {
                assertTrue(
                        checker.known(((CheckHealth) action).machine()),
                        "probes only machines it was told of");
            }
        }
    }

    /** Lets time pass tick by tick; attempts past their time-out get their outcome. */
    private static void pass(Script s, RuleChecker checker, List<Out> out, long time) {
        long end = s.now + time;
        while (true) {
            long timer = s.timers.stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
            long late =
                    out.stream()
                            .mapToLong(o -> o.sent() + o.offer().timeoutMicros())
                            .min()
                            .orElse(Long.MAX_VALUE);
            if (Math.min(timer, late) > end) {
                break;
            }
            s.now = Math.max(s.now, Math.min(timer, late));
            if (late <= timer) {
                Out gone =
                        out.stream()
                                .filter(o -> o.sent() + o.offer().timeoutMicros() == late)
                                .findFirst()
                                .orElseThrow();
                out.remove(gone);
                feed(
                        s,
                        checker,
                        out,
                        new AttemptEnded(
                                gone.offer().requestId(),
                                gone.attempt(),
                                gone.offer().machine(),
                                AttemptOutcome.TIMED_OUT,
                                s.now - gone.sent(),
                                false,
                                OutcomeReason.NONE,
                                null));
            } else {
                s.timers.remove(timer);
                feed(s, checker, out, new TimerFired(0));
            }
        }
        s.now = end;
    }

    /**
     * Rule 4 over all placers: hundreds of instances, each with asks enough, and machines that just
     * came up.
     */
    @ParameterizedTest
    @ValueSource(ints = {60, 200, 400})
    void manyPlacersTogetherKeepTheColdBudget(int placers) {
        PolicyFixtures fixtures = new PolicyFixtures();
        fixtures.instances = placers;
        fixtures.coldOffers = 48;
        fixtures.attempts = 1000;
        List<Script> scripts = new ArrayList<>();
        List<Placement.MachineEntry> list = new ArrayList<>();
        for (int m = 0; m < 12; m++) {
            list.add(machine("m" + m, "a", MachineState.READY, 18, 1_000 * SECOND));
        }
        for (int i = 0; i < placers; i++) {
            fixtures.seed = 1_000 + i * 7_919L;
            fixtures.number = i;
            scripts.add(new Script(fixtures));
            scripts.get(i).send(new MachineListUpdated(1, ListUpdateKind.FULL, list));
        }
        java.util.Map<String, List<Long>> sends = new java.util.LinkedHashMap<>();
        long ids = 0;
        for (long at = 0; at < 15 * SECOND; at += 500 * MS) {
            for (Script s : scripts) {
                List<Action> led = new ArrayList<>(s.pass(500 * MS));
                led.addAll(s.send(PolicyFixtures.ask("r" + ids++, "safe", 0.01)));
                for (Action a : led) {
                    if (a instanceof Offer offer) {
                        sends.computeIfAbsent(offer.machine(), m -> new ArrayList<>()).add(s.now);
                    }
                }
            }
        }
        assertTrue(sends.size() == 12, "the machines are used");
        for (List<Long> to : sends.values()) {
            for (long from : to) {
                long within = to.stream().filter(t -> t >= from && t < from + 3 * SECOND).count();
                assertTrue(within <= 48, within + " offers within the window of a cold machine");
            }
        }
    }

    // ---- the checker catches bad ones ----

    private final PolicyFixtures f = new PolicyFixtures();

    private RuleChecker checker() {
        RuleChecker checker = new RuleChecker(f.settings());
        checker.event(
                0,
                PolicyFixtures.full(
                        PolicyFixtures.ready("m1", "a", 9), PolicyFixtures.ready("m2", "b", 9)));
        return checker;
    }

    private static void caught(RuleChecker checker, String rule) {
        assertTrue(
                checker.broken.stream().anyMatch(b -> b.startsWith(rule)),
                rule + " in " + checker.broken);
    }

    @Test
    void catchesALostAndATwiceAnsweredTask() {
        RuleChecker lost = checker();
        lost.event(0, PolicyFixtures.ask("r1", "safe", 1));
        lost.end(9 * SECOND);
        caught(lost, "rule 1");
        RuleChecker twice = checker();
        twice.event(0, PolicyFixtures.ask("r1", "safe", 1));
        twice.action(1, new Reject("r1", 0));
        twice.action(2, new Offer("r1", "m1", SECOND));
        caught(twice, "rule 1");
    }

    @Test
    void catchesASecondEffect() {
        for (String cls : List.of("unsafe", "keyed")) {
            RuleChecker checker = checker();
            checker.event(0, PolicyFixtures.ask("r1", cls, 1));
            Offer offer = new Offer("r1", "m1", SECOND);
            checker.action(0, offer);
            checker.event(
                    SECOND,
                    PolicyFixtures.ended(offer, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE));
            checker.action(SECOND, new Offer("r1", "m2", SECOND));
            caught(checker, "rule 2");
        }
        RuleChecker two = checker();
        two.event(0, PolicyFixtures.ask("r1", "safe", 1));
        two.action(0, new Offer("r1", "m1", SECOND));
        two.action(0, new Offer("r1", "m2", SECOND));
        caught(two, "rule 2");
        RuleChecker refused = checker();
        refused.event(0, PolicyFixtures.ask("r1", "unsafe", 1));
        Offer offer = new Offer("r1", "m1", SECOND);
        refused.action(0, offer);
        refused.event(
                SECOND, PolicyFixtures.ended(offer, 0, AttemptOutcome.LOST, OutcomeReason.NONE));
        refused.action(SECOND, new Reject("r1", 0));
        caught(refused, "rule 2");
    }

    @Test
    void catchesWorkForADrainingMachine() {
        RuleChecker checker = checker();
        checker.event(0, PolicyFixtures.delta(machine("m1", "a", MachineState.DRAINING, 9, 0)));
        checker.event(0, PolicyFixtures.ask("r1", "safe", 1));
        checker.action(SECOND, new Offer("r1", "m1", SECOND));
        caught(checker, "rule 3");
    }

    @Test
    void catchesABurstAtAColdMachine() {
        f.coldOffers = 3;
        RuleChecker checker = checker();
        checker.event(0, PolicyFixtures.delta(machine("m1", "a", MachineState.READY, 9, 1)));
        for (int i = 0; i < 4; i++) {
            checker.event(2, PolicyFixtures.ask("r" + i, "safe", 1));
            checker.action(2, new Offer("r" + i, "m1", SECOND));
        }
        caught(checker, "rule 4");
    }

    @Test
    void catchesAServiceTooCloseTogether() {
        RuleChecker checker = checker();
        for (int i = 0; i < 3; i++) {
            checker.event(0, PolicyFixtures.ask("r" + i, "spread", 1));
            checker.action(0, new Offer("r" + i, "m1", SECOND));
        }
        caught(checker, "rule 5");
    }
}
