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

/** Tests that the rule checker detects violations of each rule. */
class RuleCheckerTest {
    private final PolicyFixtures fixtures = new PolicyFixtures();

    private RuleChecker newChecker() {
        RuleChecker checker = new RuleChecker(fixtures.settings());
        checker.recordEvent(0, fullList(readyMachine("m1", "a", 9), readyMachine("m2", "b", 9)));
        return checker;
    }

    private static void assertDetects(RuleChecker checker, String rule) {
        assertTrue(
                checker.violations.stream().anyMatch(violation -> violation.startsWith(rule)),
                rule + " in " + checker.violations);
    }

    @Test
    void detectsMissingResultAndOfferAfterResult() {
        RuleChecker withoutResult = newChecker();
        withoutResult.recordEvent(0, request("r1", "safe", 1));
        withoutResult.finish(9 * SECOND);
        assertDetects(withoutResult, "rule 1");
        RuleChecker offeredAfterResult = newChecker();
        offeredAfterResult.recordEvent(0, request("r1", "safe", 1));
        offeredAfterResult.recordAction(1, new Reject("r1", 0));
        offeredAfterResult.recordAction(2, new Offer("r1", "m1", SECOND));
        assertDetects(offeredAfterResult, "rule 1");
    }

    @Test
    void detectsSecondRunAndUnsafeRejection() {
        for (String taskClass : List.of("unsafe", "keyed")) {
            RuleChecker checker = newChecker();
            checker.recordEvent(0, request("r1", taskClass, 1));
            Offer offer = new Offer("r1", "m1", SECOND);
            checker.recordAction(0, offer);
            checker.recordEvent(
                    SECOND, attemptEnded(offer, 0, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE));
            checker.recordAction(SECOND, new Offer("r1", "m2", SECOND));
            assertDetects(checker, "rule 2");
        }
        RuleChecker parallel = newChecker();
        parallel.recordEvent(0, request("r1", "safe", 1));
        parallel.recordAction(0, new Offer("r1", "m1", SECOND));
        parallel.recordAction(0, new Offer("r1", "m2", SECOND));
        assertDetects(parallel, "rule 2");
        RuleChecker rejected = newChecker();
        rejected.recordEvent(0, request("r1", "unsafe", 1));
        Offer offer = new Offer("r1", "m1", SECOND);
        rejected.recordAction(0, offer);
        rejected.recordEvent(
                SECOND, attemptEnded(offer, 0, AttemptOutcome.LOST, OutcomeReason.NONE));
        rejected.recordAction(SECOND, new Reject("r1", 0));
        assertDetects(rejected, "rule 2");
    }

    @Test
    void detectsOfferToDrainingMachine() {
        RuleChecker checker = newChecker();
        checker.recordEvent(0, deltaList(machine("m1", "a", MachineState.DRAINING, 9, 0)));
        checker.recordEvent(0, request("r1", "safe", 1));
        checker.recordAction(SECOND, new Offer("r1", "m1", SECOND));
        assertDetects(checker, "rule 3");
    }

    @Test
    void detectsTooManyOffersInSlowStart() {
        fixtures.slowStartOffers = 3;
        RuleChecker checker = newChecker();
        checker.recordEvent(0, deltaList(machine("m1", "a", MachineState.READY, 9, 1)));
        for (int i = 0; i < 4; i++) {
            checker.recordEvent(2, request("r" + i, "safe", 1));
            checker.recordAction(2, new Offer("r" + i, "m1", SECOND));
        }
        assertDetects(checker, "rule 4");
    }

    @Test
    void detectsTooManyTasksOfServiceInOneZone() {
        RuleChecker checker = newChecker();
        for (int i = 0; i < 3; i++) {
            checker.recordEvent(0, request("r" + i, "spread", 1));
            checker.recordAction(0, new Offer("r" + i, "m1", SECOND));
        }
        assertDetects(checker, "rule 5");
    }
}
