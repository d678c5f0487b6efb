package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static thornferry.decisions.placement.PolicyFixtures.SECOND;
import static thornferry.decisions.placement.PolicyFixtures.attemptEnded;
import static thornferry.decisions.placement.PolicyFixtures.deltaList;
import static thornferry.decisions.placement.PolicyFixtures.fullList;
import static thornferry.decisions.placement.PolicyFixtures.machine;
import static thornferry.decisions.placement.PolicyFixtures.readyMachine;
import static thornferry.decisions.placement.PolicyFixtures.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.Reject;

/** The rule checker catches actions that break each rule. */
class RuleCheckerTest {
    private final PolicyFixtures fixtures = new PolicyFixtures();

    private RuleChecker newChecker() {
        RuleChecker checker = new RuleChecker(fixtures.settings());
        checker.recordEvent(0, fullList(readyMachine("m1", "a", 9), readyMachine("m2", "b", 9)));
        return checker;
    }

    private static void assertCaught(RuleChecker checker, String rule) {
        assertTrue(
                checker.violations.stream().anyMatch(b -> b.startsWith(rule)),
                rule + " in " + checker.violations);
    }

    @Test
    void catchesMissingAndSecondFinalAnswer() {
        RuleChecker unanswered = newChecker();
        unanswered.recordEvent(0, request("r1", "safe", 1));
        unanswered.finish(9 * SECOND);
        assertCaught(unanswered, "rule 1");
        RuleChecker twice = newChecker();
        twice.recordEvent(0, request("r1", "safe", 1));
        twice.recordAction(1, new Reject("r1", 0));
        twice.recordAction(2, new Offer("r1", "m1", SECOND));
        assertCaught(twice, "rule 1");
    }

    @Test
    void catchesSecondRunAndUnsafeRejection() {
        for (String taskClass : List.of("unsafe", "keyed")) {
            RuleChecker checker = newChecker();
            checker.recordEvent(0, request("r1", taskClass, 1));
            Offer offer = new Offer("r1", "m1", SECOND);
            checker.recordAction(0, offer);
            checker.recordEvent(
                    SECOND, attemptEnded(offer, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE));
            checker.recordAction(SECOND, new Offer("r1", "m2", SECOND));
            assertCaught(checker, "rule 2");
        }
        RuleChecker parallel = newChecker();
        parallel.recordEvent(0, request("r1", "safe", 1));
        parallel.recordAction(0, new Offer("r1", "m1", SECOND));
        parallel.recordAction(0, new Offer("r1", "m2", SECOND));
        assertCaught(parallel, "rule 2");
        RuleChecker rejected = newChecker();
        rejected.recordEvent(0, request("r1", "unsafe", 1));
        Offer offer = new Offer("r1", "m1", SECOND);
        rejected.recordAction(0, offer);
        rejected.recordEvent(
                SECOND, attemptEnded(offer, 0, AttemptOutcome.LOST, OutcomeReason.NONE));
        rejected.recordAction(SECOND, new Reject("r1", 0));
        assertCaught(rejected, "rule 2");
    }

    @Test
    void catchesOfferToDrainingMachine() {
        RuleChecker checker = newChecker();
        checker.recordEvent(0, deltaList(machine("m1", "a", MachineState.DRAINING, 9, 0)));
        checker.recordEvent(0, request("r1", "safe", 1));
        checker.recordAction(SECOND, new Offer("r1", "m1", SECOND));
        assertCaught(checker, "rule 3");
    }

    @Test
    void catchesTooManyOffersInSlowStart() {
        fixtures.slowStartOffers = 3;
        RuleChecker checker = newChecker();
        checker.recordEvent(0, deltaList(machine("m1", "a", MachineState.READY, 9, 1)));
        for (int i = 0; i < 4; i++) {
            checker.recordEvent(2, request("r" + i, "safe", 1));
            checker.recordAction(2, new Offer("r" + i, "m1", SECOND));
        }
        assertCaught(checker, "rule 4");
    }

    @Test
    void catchesTooManyTasksOfServiceInOneZone() {
        RuleChecker checker = newChecker();
        for (int i = 0; i < 3; i++) {
            checker.recordEvent(0, request("r" + i, "spread", 1));
            checker.recordAction(0, new Offer("r" + i, "m1", SECOND));
        }
        assertCaught(checker, "rule 5");
    }
}
