package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thornferry.decisions.placement.PolicyFixtures.MS;
import static thornferry.decisions.placement.PolicyFixtures.SECOND;
import static thornferry.decisions.placement.PolicyFixtures.ask;
import static thornferry.decisions.placement.PolicyFixtures.delta;
import static thornferry.decisions.placement.PolicyFixtures.ended;
import static thornferry.decisions.placement.PolicyFixtures.full;
import static thornferry.decisions.placement.PolicyFixtures.machine;
import static thornferry.decisions.placement.PolicyFixtures.ready;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import thornferry.decisions.placement.Placement.Action;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.CheckHealth;
import thornferry.decisions.placement.Placement.ClientDisconnected;
import thornferry.decisions.placement.Placement.Fail;
import thornferry.decisions.placement.Placement.FilterReason;
import thornferry.decisions.placement.Placement.HealthCheckCompleted;
import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineListUpdated;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.ObservationKind;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.Pending;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.PlacementRequested;
import thornferry.decisions.placement.Placement.Reject;
import thornferry.decisions.placement.Placement.Subscribe;
import thornferry.decisions.placement.Placement.TaskAdopted;
import thornferry.decisions.placement.Placement.TaskObserved;
import thornferry.decisions.placement.PolicyFixtures.Script;

class PolicyTest {
    private final PolicyFixtures f = new PolicyFixtures();

    private Script with(MachineEntry... entries) {
        Script s = new Script(f);
        s.send(full(entries));
        return s;
    }

    // ---- the ordinary path ----

    @Test
    void offersToTheLowestScore() {
        Script s = with(ready("m1", "a", 4), ready("m2", "a", 18));
        assertEquals("m2", s.offer(ask("r1", "safe", 1)).machine());
    }

    @Test
    void leansToFullerMachinesWhereMachinesInUseArePriced() {
        f.fleetPrice = 0.25;
        Script s = with(ready("m1", "a", 12), ready("m2", "a", 20));
        assertEquals("m1", s.offer(ask("r1", "safe", 1)).machine());
    }

    @Test
    void ownBindsCountUntilAReadingCoversThem() {
        Script s = with(ready("m1", "a", 4));
        assertNotNull(s.offer(ask("r1", "safe", 3)));
        assertNull(s.offer(ask("r2", "safe", 3)), "no room beside the first");
    }

    @Test
    void aMachineNeverHeardFromScoresAsTheMean() {
        f.reports = LoadReportMode.ON_HEALTH_CHECK;
        Script s =
                with(
                        ready("m1", "a", Double.NaN),
                        ready("m2", "a", Double.NaN),
                        ready("m3", "a", Double.NaN)); // a list that shows no room
        s.send(new HealthCheckCompleted("m1", true, MS, LoadReport.ofFreeCapacity(2, 40)));
        s.send(new HealthCheckCompleted("m2", true, MS, LoadReport.ofFreeCapacity(18, 40)));
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            chosen.add(
                    s.offer(
                                    new PlacementRequested(
                                            new PlacementRequest(
                                                    "r" + i,
                                                    "safe",
                                                    null,
                                                    "t",
                                                    8 * SECOND,
                                                    0,
                                                    "s" + i,
                                                    5,
                                                    1,
                                                    false)))
                            .machine());
        }
        assertTrue(
                chosen.contains("m2") && !chosen.contains("m1"),
                "emptier than the mean, never the full one");
    }

    @Test
    void staysWhereTheProgramRuns() {
        Script s = with(ready("m1", "a", 16), ready("m2", "a", 16));
        String first = s.offer(ask("r1", "safe", 0.5)).machine();
        assertEquals(first, s.offer(ask("r2", "safe", 0.5)).machine());
    }

    @Test
    void sameEventsSameActions() {
        List<List<Action>> runs = new java.util.ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Script s =
                    with(
                            ready("m1", "a", 9),
                            ready("m2", "b", 9),
                            ready("m3", "a", 9),
                            ready("m4", "b", 9));
            for (int i = 0; i < 40; i++) {
                s.send(ask("r" + i, i % 2 == 0 ? "safe" : "keyed", 0.5));
                s.pass(30 * MS);
            }
            runs.add(s.actions);
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    // ---- rule 1: one final answer in time ----

    @Test
    void aHeldAskIsRefusedBeforeItsOwnerLeaves() {
        Script s = with(ready("m1", "a", 0.5));
        assertTrue(
                s.send(ask("r1", "safe", 3)).stream().allMatch(Pending.class::isInstance),
                "held while nothing fits");
        assertEquals(
                List.of(),
                s.pass(7 * SECOND).stream().filter(a -> !(a instanceof CheckHealth)).toList());
        assertTrue(s.pass(SECOND).contains(new Reject("r1", 0)));
    }

    @Test
    void anAskOfLessPatienceThanATickIsAnsweredAtOnce() {
        Script s = with();
        assertEquals(List.of(new Reject("r1", 0)), s.send(ask("r1", "safe", 1, 5 * MS)));
    }

    @Test
    void aHeldAskIsOfferedOnceRoomShows() {
        Script s = with(ready("m1", "a", 0.5));
        s.send(ask("r1", "safe", 3));
        s.send(delta(ready("m1", "a", 15)));
        assertTrue(s.pass(100 * MS).stream().anyMatch(Offer.class::isInstance));
    }

    @Test
    void theAttemptLimitEndsInARefusal() {
        f.attempts = 2;
        Script s = with(ready("m1", "a", 18), ready("m2", "a", 18), ready("m3", "a", 18));
        Offer first = s.offer(ask("r1", "safe", 1));
        Offer second =
                s.offer(ended(first, 0, AttemptOutcome.REJECTED, OutcomeReason.INSUFFICIENT_CORES));
        assertNotEquals(first.machine(), second.machine());
        assertEquals(
                List.of(new Reject("r1", 0)),
                s.send(
                        ended(
                                second,
                                1,
                                AttemptOutcome.REJECTED,
                                OutcomeReason.INSUFFICIENT_CORES)));
    }

    @Test
    void nothingFollowsWhenTheOwnerLeft() {
        Script s = with(ready("m1", "a", 18), ready("m2", "a", 18));
        Offer first = s.offer(ask("r1", "safe", 1));
        s.send(new ClientDisconnected("r1"));
        assertTrue(
                s.send(ended(first, 0, AttemptOutcome.REJECTED, OutcomeReason.INSUFFICIENT_CORES))
                        .isEmpty());
    }

    // ---- rule 2: no effect twice ----

    @Test
    void anUnsafeTaskThatMayHaveRunFails() {
        Script s = with(ready("m1", "a", 18), ready("m2", "a", 18));
        Offer first = s.offer(ask("r1", "unsafe", 1));
        s.pass(2 * SECOND);
        assertTrue(
                s.send(ended(first, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE))
                        .contains(new Fail("r1")));
    }

    @Test
    void aKeyedTaskThatMayHaveRunStaysInItsGroup() {
        Script s =
                with(
                        ready("m1", "a", 18),
                        ready("m2", "b", 18),
                        ready("m3", "a", 18),
                        ready("m4", "b", 18));
        Offer first = s.offer(ask("r1", "keyed", 1));
        s.pass(SECOND);
        Offer second = s.offer(ended(first, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE));
        assertNotEquals(first.machine(), second.machine());
        Set<String> a = Set.of("m1", "m3");
        assertEquals(a.contains(first.machine()), a.contains(second.machine()));
    }

    @Test
    void aKeyedTaskOutsideItsWindowFailsAndOneOfGroupAllIsRefused() {
        Script s = with(ready("m1", "a", 18), ready("m2", "a", 18));
        Offer zone = s.offer(ask("r1", "keyed", 1));
        Offer all = s.offer(ask("r2", "keyedAll", 1));
        s.pass(5 * SECOND);
        assertTrue(
                s.send(ended(zone, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE))
                        .contains(new Fail("r1")));
        assertTrue(
                s.send(ended(all, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE))
                        .contains(new Reject("r2", 0)));
    }

    @Test
    void anOutcomeThatComesTwiceIsIgnored() {
        Script s = with(ready("m1", "a", 18), ready("m2", "a", 18));
        Offer first = s.offer(ask("r1", "safe", 1));
        assertNotNull(
                s.offer(
                        ended(
                                first,
                                0,
                                AttemptOutcome.REJECTED,
                                OutcomeReason.INSUFFICIENT_CORES)));
        assertTrue(
                s.send(ended(first, 0, AttemptOutcome.REJECTED, OutcomeReason.INSUFFICIENT_CORES))
                        .isEmpty());
    }

    // ---- rule 3: drains ----

    @Test
    void nothingGoesToADrainingOrAbsentMachine() {
        Script s = with(ready("m1", "a", 18), ready("m2", "a", 18));
        s.send(delta(machine("m1", "a", MachineState.DRAINING, 18, 0)));
        s.send(full(machine("m1", "a", MachineState.DRAINING, 18, 0)));
        assertNull(s.offer(ask("r1", "safe", 1)));
        s.send(full(ready("m1", "a", 18)));
        assertTrue(s.pass(40 * MS).stream().anyMatch(Offer.class::isInstance));
    }

    // ---- probes and the list ----

    private int probesOfHalfAMinute() {
        f.reports = LoadReportMode.ON_HEALTH_CHECK;
        Script s = with(ready("m1", "a", 18), ready("m2", "a", 18), ready("m3", "a", 18));
        int probes = 0;
        for (int i = 0; i < 300; i++) {
            List<Action> led = new java.util.ArrayList<>(s.pass(100 * MS));
            led.addAll(s.send(ask("r" + i, "safe", 0.01)));
            for (Action a : led) {
                if (a instanceof CheckHealth probe) {
                    probes++;
                    s.send(
                            new HealthCheckCompleted(
                                    probe.machine(), true, MS, LoadReport.ofFreeCapacity(18, 36)));
                }
            }
        }
        return probes;
    }

    @Test
    void probesCostASmallPartOfAnAskWhereTheListShowsRoom() {
        f.probePrice = 0.004;
        int cheap = probesOfHalfAMinute();
        f.probePrice = 0.08;
        int dear = probesOfHalfAMinute();
        f.listsRoom = false;
        int alone = probesOfHalfAMinute();
        assertTrue(cheap >= 100, cheap + " where they cost little");
        assertTrue(dear <= cheap / 10, dear + " where they cost twenty times as much");
        assertEquals(cheap, alone, "where nothing else tells of room they go on");
    }

    @Test
    void theListIsAReadingOnceTheLastReportIsOld() {
        f.reports = LoadReportMode.ON_HEALTH_CHECK;
        f.probePrice = 0.08;
        Script s = with(ready("m1", "a", 18));
        s.send(new HealthCheckCompleted("m1", true, MS, LoadReport.ofFreeCapacity(18, 36)));
        s.send(delta(ready("m1", "a", 1)));
        assertNotNull(
                s.offer(ask("r1", "safe", 5)), "the report is newer than what the list tells");
        s.pass(3 * SECOND);
        s.send(delta(ready("m1", "a", 1)));
        assertNull(s.offer(ask("r2", "safe", 5)));
    }

    // ---- rule 4: cold machines ----

    @Test
    void aColdMachineGetsThisPlacersShareOfItsBudget() {
        f.instances = 4;
        f.coldOffers = 20; // 5 for this placer, of which it spends 4
        Script s = new Script(f);
        s.send(full(machine("m1", "a", MachineState.READY, 18, s.now)));
        int offers = 0;
        for (int i = 0; i < 10; i++) {
            offers += s.offer(ask("r" + i, "safe", 0.1)) == null ? 0 : 1;
        }
        assertEquals(4, offers);
    }

    @Test
    void aMachineThatTookATaskWithItIsColdWhenItAnswersAgainWhateverTheListSays() {
        f.instances = 4;
        f.coldOffers = 20;
        Script s = new Script(f);
        s.send(full(ready("m1", "a", 18)));
        s.pass(10 * SECOND);
        Offer first = s.offer(ask("r0", "safe", 0.1));
        s.send(new AttemptAccepted("r0", 0, "m1", MS));
        s.pass(10 * SECOND);
        s.send(
                new AttemptEnded(
                        "r0",
                        0,
                        first.machine(),
                        AttemptOutcome.LOST,
                        0,
                        true,
                        OutcomeReason.NONE,
                        null));
        assertTrue(s.pass(2 * SECOND).contains(new CheckHealth("m1")));
        s.send(new HealthCheckCompleted("m1", true, MS, null));
        int offers = 0;
        for (int i = 1; i <= 10; i++) {
            offers += s.offer(ask("r" + i, "safe", 0.1)) == null ? 0 : 1;
        }
        assertEquals(4, offers);
    }

    // ---- rule 5: spread ----

    @Test
    void runningTasksCountForTheSpread() {
        Script s = with(ready("m1", "a", 18), ready("m2", "a", 18));
        PlacementRequest running =
                new PlacementRequest("r0", "spread", null, "t0", SECOND, 0, "service", 1, 1, false);
        assertTrue(s.send(new TaskAdopted(running, "m1")).isEmpty(), "never sent");
        assertNotNull(s.offer(ask("r1", "spread", 1)));
        assertNull(s.offer(ask("r2", "spread", 1)), "two in the zone are the most");
    }

    // ---- failures found on the bench ----

    @Test
    void aRestartedMachineIsNotJudgedByItsFrozenFigures() {
        f.reports = LoadReportMode.WITH_RESPONSES;
        Script s = with(ready("m1", "a", 18));
        Offer first = s.offer(ask("r1", "safe", 1));
        s.send(
                new AttemptEnded(
                        "r1",
                        0,
                        "m1",
                        AttemptOutcome.REJECTED,
                        MS,
                        true,
                        OutcomeReason.INSUFFICIENT_CORES,
                        LoadReport.ofFreeCapacity(0, 0)));
        assertNotNull(first);
        s.pass(3 * SECOND);
        assertNull(s.offer(ask("r2", "safe", 1)), "full when last heard");
        s.send(delta(machine("m1", "a", MachineState.READY, 20, s.now - SECOND)));
        assertTrue(s.pass(100 * MS).stream().anyMatch(Offer.class::isInstance));
    }

    @Test
    void aMachineNoneHearFromIsProbed() {
        f.reports = LoadReportMode.WITH_RESPONSES;
        Script s = with(ready("m1", "a", 18));
        assertTrue(s.pass(5 * SECOND).contains(new CheckHealth("m1")));
    }

    @Test
    void aMachineThatBreaksOffAnswersSitsOutUntilAProbe() {
        Script s = with(ready("m1", "a", 18), ready("m2", "a", 2), ready("m3", "a", 2));
        Offer first = s.offer(ask("r1", "safe", 1));
        assertEquals("m1", first.machine());
        s.send(ended(first, 0, AttemptOutcome.LOST, OutcomeReason.NONE));
        s.pass(100 * MS);
        assertNotEquals("m1", s.offer(ask("r2", "safe", 0.5)).machine());
        assertTrue(s.pass(2 * SECOND).contains(new CheckHealth("m1")));
        s.send(new HealthCheckCompleted("m1", true, MS, null));
        assertEquals("m1", s.offer(ask("r3", "safe", 1)).machine());
    }

    @Test
    void aPlacerDoubtsItsOwnLinkWhenMostMachinesLookDead() {
        Script s = with(ready("m1", "a", 18), ready("m2", "a", 18), ready("m3", "a", 18));
        for (int i = 0; i < 2; i++) {
            s.send(
                    ended(
                            s.offer(ask("r" + i, "safe", 1)),
                            0,
                            AttemptOutcome.LOST,
                            OutcomeReason.NONE));
        }
        Set<String> used = new HashSet<>();
        for (int i = 10; i < 22; i++) {
            Offer offer = s.offer(ask("r" + i, "safe", 3));
            if (offer != null) {
                used.add(offer.machine());
            }
        }
        assertEquals(3, used.size(), "suspects are used again");
    }

    @Test
    void aRefusalTellsOfRoomUntilANewerReading() {
        Script s = with(ready("m1", "a", 18));
        Offer first = s.offer(ask("r1", "safe", 2));
        s.send(ended(first, 0, AttemptOutcome.REJECTED, OutcomeReason.INSUFFICIENT_CORES));
        assertNull(s.offer(ask("r2", "safe", 2)));
        assertNotNull(s.offer(ask("r3", "safe", 1)), "a smaller one may still fit");
    }

    @Test
    void theListsRoomStandsInUntilTheFirstReport() {
        f.reports = LoadReportMode.ON_HEALTH_CHECK;
        Script s = with(ready("m1", "a", 0.5));
        assertNull(s.offer(ask("r1", "safe", 3)), "nearly full by the list");
        assertNotNull(
                s.offer(
                        new HealthCheckCompleted(
                                "m1", true, MS, LoadReport.ofFreeCapacity(15, 30))));
    }

    @Test
    void whatIsAskedForIsGuessedLowWhereReadingsCountUse() {
        f.reports = LoadReportMode.ON_HEALTH_CHECK;
        f.countsUsed = true;
        Script s = with(ready("m1", "a", Double.NaN));
        s.send(
                new HealthCheckCompleted(
                        "m1",
                        true,
                        MS,
                        LoadReport.ofFreeCapacity(
                                6, 40))); // 14 in use: 18.7 asked at the usual use, 16.2 guessed
        assertNotNull(s.offer(ask("r1", "safe", 3)));
    }

    @Test
    void aPlacedTaskLostWithItsMachineTellsOfTheMachine() {
        Script s = with(ready("m1", "a", 18), ready("m2", "a", 2), ready("m3", "a", 2));
        Offer first = s.offer(ask("r1", "safe", 1));
        s.send(new AttemptAccepted("r1", 0, first.machine(), MS));
        s.send(
                new AttemptEnded(
                        "r1",
                        0,
                        first.machine(),
                        AttemptOutcome.LOST,
                        SECOND,
                        true,
                        OutcomeReason.NONE,
                        null));
        assertNotEquals("m1", s.offer(ask("r2", "safe", 0.5)).machine());
    }

    @Test
    void aTimeOutAllowsForTheStartWhereTheAnswerComesWhenTheTaskRuns() {
        f.running = true;
        Script s = with(ready("m1", "a", 18));
        assertTrue(s.offer(ask("r1", "safe", 1)).timeoutMicros() >= 1500 * MS);
    }

    @Test
    void classesOfLessWorthLeaveRoom() {
        Script s = with(ready("m1", "a", 1));
        assertNull(s.offer(ask("r1", "cheap", 0.5)));
        assertNotNull(s.offer(ask("r2", "safe", 0.5)));
    }

    @Test
    void aLostSubscriptionIsRenewedWithBackoff() {
        f.mustAsk = true;
        Script s = new Script(f);
        s.send(new MachineListUpdated(1, ListUpdateKind.CACHED, List.of(ready("m1", "a", 18))));
        assertTrue(s.actions.contains(new Subscribe(true)));
        s.send(new MachineListUpdated(1, ListUpdateKind.FAILED, List.of()));
        assertTrue(s.pass(500 * MS).contains(new Subscribe(true)));
        s.send(new MachineListUpdated(1, ListUpdateKind.FAILED, List.of()));
        assertTrue(s.pass(400 * MS).isEmpty(), "waits longer");
        assertTrue(s.pass(500 * MS).contains(new Subscribe(true)));
    }

    // ---- many placers ----

    private static PlacementRequested ofService(String id, String service) {
        return new PlacementRequested(
                new PlacementRequest(
                        id, "safe", null, "t-" + id, 8 * SECOND, 0, service, 1, 1, false));
    }

    private MachineEntry[] fleet(int size) {
        return java.util.stream.IntStream.range(0, size)
                .mapToObj(i -> ready("m" + i, "a", 15))
                .toArray(MachineEntry[]::new);
    }

    @Test
    void placersThatOutnumberMachinesBringAServiceToTheSameMachine() {
        f.instances = 200;
        Set<String> chosen = new HashSet<>();
        Set<String> others = new HashSet<>();
        for (int placer = 0; placer < 20; placer++) {
            f.seed = placer;
            Script s = with(fleet(40));
            chosen.add(s.offer(ofService("r1", "one")).machine());
            others.add(s.offer(ofService("r2", "s" + placer)).machine());
        }
        assertEquals(1, chosen.size(), "no seed decides where a service is at home");
        assertTrue(others.size() > 8, "services spread over the fleet");
    }

    @Test
    void aFullHomeGivesWayToTheNext() {
        f.instances = 200;
        Script s = with(fleet(40));
        String home = s.offer(ofService("r1", "one")).machine();
        s.pass(4 * SECOND);
        s.send(delta(ready(home, "a", 0)));
        f.seed = 99;
        Script t = with(fleet(40));
        t.send(delta(ready(home, "a", 0)));
        String next = s.offer(ofService("r2", "one")).machine();
        assertNotEquals(home, next);
        assertEquals(next, t.offer(ofService("r3", "one")).machine());
    }

    @Test
    void whereOnlyProbesTellAnAskOfManyPlacersWaitsForItsHomes() {
        f.instances = 200;
        f.reports = LoadReportMode.ON_HEALTH_CHECK;
        f.listsRoom = false;
        Script s = with(fleet(40));
        List<Action> led = s.send(ofService("r1", "one"));
        assertEquals(3, led.stream().filter(CheckHealth.class::isInstance).count());
        assertTrue(led.stream().noneMatch(Offer.class::isInstance));
        Offer offer = null;
        for (Action a : led.stream().filter(CheckHealth.class::isInstance).toList()) {
            offer =
                    s.offer(
                            new HealthCheckCompleted(
                                    ((CheckHealth) a).machine(),
                                    true,
                                    MS,
                                    LoadReport.ofFreeCapacity(15, 30)));
        }
        assertNotNull(offer, "bound once all have answered");
        Script silent = with(fleet(40));
        silent.send(ofService("r1", "one"));
        assertTrue(
                silent.pass(200 * MS).stream().anyMatch(Offer.class::isInstance),
                "not held by silence");
    }

    @Test
    void idlePlacersOfALargeFleetHardlyWake() {
        f.instances = 200;
        f.reports = LoadReportMode.ON_HEALTH_CHECK;
        Script s = with(fleet(40));
        int before = s.fired;
        assertTrue(s.pass(20 * SECOND).isEmpty(), "no probes without an ask");
        assertTrue(s.fired - before <= 220, s.fired - before + " timers in 20 s");
    }

    @Test
    void aRefusalWithoutAReasonKeepsOnlyThatClassAway() {
        Script s = with(ready("m1", "a", 18));
        Offer first = s.offer(ask("r1", "safe", 1));
        s.send(ended(first, 0, AttemptOutcome.REJECTED, OutcomeReason.NONE));
        assertNull(s.offer(ask("r2", "safe", 1)), "held for the same class");
        assertNotNull(s.offer(ask("r3", "keyed", 1)), "another class is served");
        assertTrue(
                s.pass(3 * SECOND).stream().anyMatch(Offer.class::isInstance),
                "tried again in time");
    }

    @Test
    void silenceTowardsOneClassKeepsTheMachineInUseForOthers() {
        f.instances = 200;
        Script s = with(ready("m1", "a", 18));
        Offer silent = s.offer(ask("r1", "safe", 1));
        Offer served = s.offer(ask("r2", "keyed", 1));
        s.pass(SECOND);
        s.send(new AttemptAccepted("r2", 0, served.machine(), MS));
        s.send(ended(silent, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE));
        assertNull(s.offer(ask("r3", "safe", 1)));
        assertNotNull(s.offer(ask("r4", "keyed", 1)));
    }

    @Test
    void aMachineThatLetsTooManyWaitIsLeftAloneThoughItAnswersOthers() {
        Script s = with(ready("m1", "a", 18));
        Offer placed = s.offer(ask("r1", "safe", 1));
        Offer crowded = s.offer(ask("r2", "safe", 1));
        s.send(ended(crowded, 0, AttemptOutcome.REJECTED, OutcomeReason.QUEUE_FULL));
        s.send(new AttemptAccepted("r1", 0, placed.machine(), MS));
        assertNull(s.offer(ask("r3", "safe", 1)));
        assertTrue(s.pass(300 * MS).stream().anyMatch(Offer.class::isInstance));
    }

    @Test
    void aMachineNeverReadIsNotHeldToBeFull() {
        f.reports = LoadReportMode.ON_HEALTH_CHECK;
        Script s = with(ready("m1", "a", Double.NaN));
        assertNotNull(s.offer(ask("r1", "safe", 1)));
    }

    // ---- where a service's program is ----

    @Test
    void morePlacersThanHomesMeetOnAFewMachinesOfAService() {
        f.instances = 16;
        MachineEntry[] fleet = new MachineEntry[100];
        for (int i = 0; i < fleet.length; i++) {
            fleet[i] = ready("m" + i, "a", 18);
        }
        java.util.Set<String> met = new java.util.HashSet<>();
        for (f.number = 0; f.number < 16; f.number++) {
            f.seed = 100 + f.number;
            Script s = with(fleet);
            for (int i = 0; i < 3; i++) {
                met.add(s.offer(ask("r" + i, "safe", 0.5)).machine());
            }
        }
        assertTrue(met.size() <= 7, "48 tasks of one service on " + met.size() + " machines");
    }

    // ---- bad input ----

    @Test
    void invalidSettingsAreNamed() {
        f.instances = 0;
        assertTrue(
                assertThrows(IllegalArgumentException.class, () -> new Policy(f.settings()))
                        .getMessage()
                        .contains("instances"));
        f.instances = 1;
        f.classes.clear();
        assertTrue(
                assertThrows(IllegalArgumentException.class, () -> new Policy(f.settings()))
                        .getMessage()
                        .contains("classes"));
    }

    @Test
    void emptyListsZeroSizesAndReadingsThatAreNoNumbersNeverOffer() {
        Script s = with();
        assertNull(s.offer(ask("r1", "safe", 1)));
        s.send(
                full(
                        new MachineEntry(
                                "m1", "a", "unknown kind", 1, MachineState.READY, 5, 5, 1, 0)));
        assertNull(s.offer(ask("r2", "safe", 1)));
        s.send(full(machine("m1", "a", MachineState.READY, Double.NaN, 0)));
        s.send(
                new HealthCheckCompleted(
                        "m1", true, MS, LoadReport.ofFreeCapacity(Double.NaN, Double.NaN)));
        s.send(new HealthCheckCompleted("never listed", true, MS, null));
        s.send(new TaskObserved("r9", 0, "m1", ObservationKind.CORES_USED, Double.NaN));
        s.send(new AttemptAccepted("r9", 0, "m1", MS));
        s.send(new ClientDisconnected("r9"));
        s.pass(SECOND);
    }

    @Test
    void oddButLegalInputNeverOffersWrongly() {
        f.instances = 500; // more than offers in the cold budget
        f.coldOffers = 3;
        f.reports = LoadReportMode.ON_HEALTH_CHECK;
        Script s = new Script(f);
        MachineEntry[] many = new MachineEntry[400];
        for (int i = 0; i < many.length; i++) {
            many[i] =
                    machine(
                            "m" + i,
                            i % 2 == 0 ? "a" : "b",
                            MachineState.READY,
                            18,
                            i % 3 == 0 ? s.now : 0);
        }
        s.send(full(many));
        s.send(
                delta(
                        new MachineEntry(
                                "odd",
                                "a",
                                "a kind never listed",
                                9,
                                MachineState.READY,
                                5,
                                5,
                                1,
                                0)));
        Offer offer = s.offer(ask("r1", "keyed", 1));
        assertNotNull(offer);
        assertNotEquals("odd", offer.machine(), "its size is not known");
        List<MachineEntry> left = new java.util.ArrayList<>();
        for (MachineEntry e : many) {
            if (e.zone().equals("b") && !e.machine().equals(offer.machine())) {
                left.add(e);
            }
        }
        s.send(
                new MachineListUpdated(
                        9,
                        ListUpdateKind.FULL,
                        left)); // zone a vanishes, and the machine asked with it
        s.pass(SECOND);
        s.send(ended(offer, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE)); // no longer listed
        for (int i = 10; i < 60; i++) {
            Offer next = s.offer(ask("r" + i, "safe", 1));
            assertTrue(
                    next == null
                            || left.stream().anyMatch(e -> e.machine().equals(next.machine())));
            if (next != null) {
                s.send(ended(next, 0, AttemptOutcome.REJECTED, OutcomeReason.NONE));
            }
        }
        s.pass(9 * SECOND);
    }

    @Test
    void tellsWhyATaskIsHeldOnceForEachChange() {
        Script s = with(ready("m1", "a", 4), ready("m2", "a", 2));
        Pending first = held(s.send(ask("r1", "safe", 6)));
        assertEquals(2, first.machinesByReason().get(FilterReason.INSUFFICIENT_CORES.ordinal()));
        assertEquals("m1", first.closestMachine());
        assertEquals(2, first.missingCores(), 0.01);
        assertTrue(
                s.pass(200 * MS).stream().noneMatch(Pending.class::isInstance),
                "nothing has changed");
        s.send(delta(machine("m1", "a", MachineState.DRAINING, 4, 0)));
        Pending second = held(s.pass(200 * MS));
        assertEquals(1, second.machinesByReason().get(FilterReason.INSUFFICIENT_CORES.ordinal()));
        assertEquals("m2", second.closestMachine());
    }

    @Test
    void aTaskLargerThanAnyMachineIsToldApartFromOneThatLacksRoom() {
        Script s = with(ready("m1", "a", 20));
        assertEquals(
                1,
                held(s.send(ask("r1", "safe", 21)))
                        .machinesByReason()
                        .get(FilterReason.MACHINE_TOO_SMALL.ordinal()));
    }

    @Test
    void tellsWhyAnewAfterAnOfferThatCameToNothing() {
        Script s = with(ready("m1", "a", 10));
        Offer offer = s.offer(ask("r1", "safe", 6));
        Pending held =
                held(
                        s.send(
                                ended(
                                        offer,
                                        0,
                                        AttemptOutcome.REJECTED,
                                        OutcomeReason.INSUFFICIENT_CORES)));
        assertEquals(1, held.machinesByReason().get(FilterReason.RECENTLY_REJECTED.ordinal()));
    }

    private static Pending held(List<Action> led) {
        return led.stream()
                .filter(Pending.class::isInstance)
                .map(Pending.class::cast)
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    // ---- a machine that leaves before the list says so ----

    @Test
    void aMachineThatSendsItsTasksAwayGetsNoMoreWhileTheListIsLate() {
        Script s = with(ready("m1", "a", 4), ready("m2", "a", 18));
        Offer first = s.offer(ask("r1", "safe", 1));
        s.send(new AttemptAccepted("r1", 0, "m2", MS));
        s.send(
                new AttemptEnded(
                        "r1",
                        0,
                        "m2",
                        AttemptOutcome.LOST,
                        0,
                        true,
                        OutcomeReason.EVACUATED,
                        null));
        assertEquals("m2", first.machine());
        assertEquals("m1", s.offer(ask("r2", "safe", 1)).machine());
        s.pass(6 * SECOND);
        assertEquals("m2", s.offer(ask("r3", "safe", 1)).machine(), "it did not leave after all");
    }

    @Test
    void aMachineThatTurnsAwayWhatNoCopyCanStandForIsLeaving() {
        Script s = with(ready("m1", "a", 4), ready("m2", "a", 18));
        Offer first = s.offer(ask("r1", "safe", 1));
        s.send(ended(first, 0, AttemptOutcome.REJECTED, OutcomeReason.UNAVAILABLE));
        assertEquals("m1", s.offer(ask("r2", "safe", 1)).machine());
        s.send(delta(machine("m2", "a", MachineState.READY, 18, s.now)));
        assertEquals("m2", s.offer(ask("r3", "safe", 1)).machine(), "started anew");
    }

    @Test
    void aKeyedTaskTurnedAwayProvesNothingForOthersAndComesToNoMachineTwice() {
        Script s = with(ready("m1", "a", 4), ready("m2", "a", 18), ready("m3", "a", 3));
        Set<String> tried = new HashSet<>();
        Offer offer = s.offer(ask("r1", "keyed", 1));
        for (int i = 0; i < 3; i++) {
            assertTrue(tried.add(offer.machine()));
            offer = s.offer(ended(offer, i, AttemptOutcome.REJECTED, OutcomeReason.UNAVAILABLE));
        }
        assertEquals("m2", s.offer(ask("r2", "safe", 1)).machine());
    }

    @Test
    void aMachineThatComesBackSoonIsCreditedWithWhatEndedThere() {
        Script s = with(ready("m1", "a", 4));
        Offer offer = s.offer(ask("r1", "safe", 3));
        s.send(new AttemptAccepted("r1", 0, "m1", MS));
        s.send(delta(machine("m1", "a", MachineState.GONE, 1, 0)));
        s.pass(10 * SECOND);
        s.send(delta(ready("m1", "a", 1)));
        s.send(
                new AttemptEnded(
                        "r1",
                        0,
                        "m1",
                        AttemptOutcome.COMPLETED,
                        0,
                        true,
                        OutcomeReason.NONE,
                        null));
        assertEquals("m1", offer.machine());
        assertNotNull(s.offer(ask("r2", "safe", 3)), "its room is known to be free again");
    }

    // ---- a machine that errs ----

    private Offer erred(Script s, String id, int attempt, Offer offer) {
        return s.offer(ended(offer, attempt, AttemptOutcome.ERROR, OutcomeReason.NONE));
    }

    /** Each of a service of its own, so that no program draws it. */
    private static PlacementRequested alone(String id, String taskClass) {
        return new PlacementRequested(
                new PlacementRequest(
                        id, taskClass, null, "t-" + id, 8 * SECOND, 0, "s-" + id, 0.5, 0.5, false));
    }

    @Test
    void unsafeTasksKeepClearOfAMachineThatErrsOnWhatOthersTake() {
        Script s = with(ready("m1", "a", 8), ready("m2", "a", 18));
        for (int i = 0; i < 2; i++) {
            Offer first = s.offer(alone("r" + i, "safe"));
            assertEquals("m2", first.machine());
            assertEquals("m1", erred(s, "r" + i, 0, first).machine());
            s.send(new AttemptAccepted("r" + i, 1, "m1", MS));
        }
        assertEquals("m1", s.offer(alone("r3", "unsafe")).machine());
        assertEquals("m2", s.offer(alone("r4", "safe")).machine(), "an error costs it nothing");
        for (int i = 5; i < 12; i++) {
            assertEquals("m2", s.offer(alone("r" + i, "safe")).machine());
            s.send(new AttemptAccepted("r" + i, 0, "m2", MS));
            s.send(new TaskObserved("r" + i, 0, "m2", ObservationKind.RUNNING, 1));
        }
        assertEquals("m2", s.offer(alone("r20", "unsafe")).machine(), "it errs no more");
    }

    @Test
    void anAskThatErrsEverywhereSaysNothingOfTheMachines() {
        Script s = with(ready("m1", "a", 8), ready("m2", "a", 18));
        for (int i = 0; i < 20; i++) {
            Offer offer = s.offer(alone("r" + i, i % 2 == 0 ? "safe" : "unsafe"));
            assertEquals("m2", offer.machine(), "no fault of the machine's");
            offer = erred(s, "r" + i, 0, offer);
            if (offer != null) {
                erred(s, "r" + i, 1, offer);
                s.send(new ClientDisconnected("r" + i));
            }
        }
    }

    @Test
    void nothingIsKeptOfMachinesThatAreGoneAndServicesThatAreOver() {
        Script s = with(ready("m0", "a", 18));
        for (int i = 0; i < 500; i++) {
            Offer offer = s.offer(alone("r" + i, "safe"));
            s.send(new AttemptAccepted("r" + i, 0, offer.machine(), MS));
            s.send(
                    delta(
                            machine("m" + i, "a", MachineState.DRAINING, 18, 0),
                            ready("m" + (i + 1), "a", 18)));
            s.send(
                    new AttemptEnded(
                            "r" + i,
                            0,
                            offer.machine(),
                            AttemptOutcome.COMPLETED,
                            0,
                            true,
                            OutcomeReason.NONE,
                            null));
            s.send(delta(machine("m" + i, "a", MachineState.GONE, 18, 0)));
            // a task handed over at a machine that no list ever names
            s.send(new TaskAdopted(alone("h" + i, "safe").request(), "nowhere" + i));
            s.send(
                    new AttemptEnded(
                            "h" + i,
                            0,
                            "nowhere" + i,
                            AttemptOutcome.LOST,
                            0,
                            true,
                            OutcomeReason.NONE,
                            null));
            s.pass(100 * MS);
        }
        for (int i = 0; i < 100; i++) { // whole lists, each without the machines of the one before
            s.send(
                    new MachineListUpdated(
                            1_000 + i, ListUpdateKind.FULL, List.of(ready("w" + i, "a", 18))));
            s.pass(100 * MS);
        }
        s.pass(60 * SECOND);
        Policy.RetainedState retained = ((Policy) s.module).retainedState();
        assertTrue(retained.machines() <= 2, "machines: " + retained.machines());
        assertTrue(retained.tasks() <= 2, "tasks: " + retained.tasks());
        assertTrue(retained.pendingTasks() <= 2, "pending tasks: " + retained.pendingTasks());
        assertTrue(retained.services() <= 2, "services: " + retained.services());
    }
}
