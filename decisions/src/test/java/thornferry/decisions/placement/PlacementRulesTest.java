package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thornferry.decisions.placement.PolicyFixtures.MILLISECOND;
import static thornferry.decisions.placement.PolicyFixtures.SECOND;
import static thornferry.decisions.placement.PolicyFixtures.machine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thornferry.decisions.placement.Placement.Action;
import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineListUpdated;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.PolicyFixtures.PolicyDriver;

/** Tests that the policy keeps the rules of {@link RuleChecker} for random streams of events. */
class PlacementRulesTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void keepsRulesForRandomEvents(long seed) {
        RuleChecker checker = new RandomEventStream(seed).run(1500);
        assertEquals(List.of(), checker.violations);
        assertTrue(checker.offerCount > 100, "offers in the event stream: " + checker.offerCount);
    }

    /**
     * Guards rule 4 across placers: hundreds of placers, each with requests, must not together
     * exceed the offers that a machine in slow start may get.
     */
    @ParameterizedTest
    @ValueSource(ints = {60, 200, 400})
    void placersTogetherKeepSlowStartBudget(int placers) {
        PolicyFixtures fixtures = new PolicyFixtures();
        fixtures.instanceCount = placers;
        fixtures.slowStartOffers = 48;
        fixtures.maxAttempts = 1000;
        List<PolicyDriver> drivers = new ArrayList<>();
        List<MachineEntry> list = new ArrayList<>();
        for (int m = 0; m < 12; m++) {
            list.add(machine("m" + m, "a", MachineState.READY, 18, 1_000 * SECOND));
        }
        for (int i = 0; i < placers; i++) {
            fixtures.seed = 1_000 + i * 7_919L;
            fixtures.instanceIndex = i;
            drivers.add(new PolicyDriver(fixtures));
            drivers.get(i).send(new MachineListUpdated(1, ListUpdateKind.FULL, list));
        }
        Map<String, List<Long>> offersByMachine = new LinkedHashMap<>();
        long requestCount = 0;
        for (long elapsedMicros = 0;
                elapsedMicros < 15 * SECOND;
                elapsedMicros += 500 * MILLISECOND) {
            for (PolicyDriver driver : drivers) {
                List<Action> actions = new ArrayList<>(driver.advance(500 * MILLISECOND));
                actions.addAll(
                        driver.send(PolicyFixtures.request("r" + requestCount++, "safe", 0.01)));
                for (Action action : actions) {
                    if (action instanceof Offer offer) {
                        offersByMachine
                                .computeIfAbsent(offer.machine(), m -> new ArrayList<>())
                                .add(driver.nowMicros);
                    }
                }
            }
        }
        assertTrue(offersByMachine.size() == 12, "every machine gets offers");
        for (List<Long> offerMicros : offersByMachine.values()) {
            for (long windowStartMicros : offerMicros) {
                long offersInWindow =
                        offerMicros.stream()
                                .filter(
                                        atMicros ->
                                                atMicros >= windowStartMicros
                                                        && atMicros
                                                                < windowStartMicros + 3 * SECOND)
                                .count();
                assertTrue(
                        offersInWindow <= 48,
                        offersInWindow + " offers within one window of a machine in slow start");
            }
        }
    }
}
