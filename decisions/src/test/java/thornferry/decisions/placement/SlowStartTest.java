package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static thornferry.decisions.placement.PolicyFixtures.MILLISECOND;
import static thornferry.decisions.placement.PolicyFixtures.SECOND;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import thornferry.decisions.placement.Placement.Action;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineListUpdated;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.PolicyFixtures.PolicyDriver;

/**
 * Tests that the offers of all placers together stay within the slow start limit of a machine in
 * every window. The limit is at risk when requests come in bursts, placers restart and forget their
 * offers, and placers learn of the machine's start at different times. There are no other machines,
 * so that these get the whole load.
 */
@SuppressWarnings("EnumOrdinal") // draws select constants by position
class SlowStartTest {
    private static final long WINDOW_MICROS = 3 * SECOND;
    private static final long START_MICROS = 1_000 * SECOND;
    private static final long STEP_MICROS = 100 * MILLISECOND;
    private static final int MACHINE_COUNT = 4;

    private final Map<String, List<Long>> arrivalsByMachine = new LinkedHashMap<>();
    private final Map<String, Integer> attemptsByRequest = new LinkedHashMap<>();
    private final PolicyFixtures fixtures = new PolicyFixtures();
    private Random random;
    private long requestCount;

    @ParameterizedTest
    @CsvSource({"3, 36", "3, 10", "16, 36", "16, 10", "30, 36", "30, 100", "30, 4"})
    void keepsEveryWindowWithinBudgetPlusTwoDeviations(int placers, int budget) {
        random = new Random(placers * 31L + budget);
        fixtures.instanceCount = placers;
        fixtures.slowStartOffers = budget;
        List<PolicyDriver> drivers = new ArrayList<>();
        for (int i = 0; i < placers; i++) {
            drivers.add(startPlacer(i, START_MICROS));
        }
        for (long nowMicros = START_MICROS;
                nowMicros < START_MICROS + 40 * SECOND;
                nowMicros += STEP_MICROS) {
            for (int i = 0; i < placers; i++) {
                // During half of the time most placers restart repeatedly, some of them between two
                // offers to the same machine.
                if (nowMicros % (20 * SECOND) >= 10 * SECOND
                        && nowMicros % (1_500 * MILLISECOND) < STEP_MICROS
                        && random.nextInt(10) < 7) {
                    drivers.set(i, startPlacer(i, nowMicros));
                }
                runStep(drivers.get(i), nowMicros);
            }
        }
        assertEquals(MACHINE_COUNT, arrivalsByMachine.size(), "every machine gets offers");
        double maxOffers = budget + 2 * Math.sqrt(budget) + 2;
        arrivalsByMachine.forEach(
                (machine, arrivals) -> {
                    arrivals.sort(null);
                    for (int i = 0, windowStart = 0; i < arrivals.size(); i++) {
                        while (arrivals.get(windowStart) <= arrivals.get(i) - WINDOW_MICROS) {
                            windowStart++;
                        }
                        assertTrue(
                                i - windowStart + 1 <= maxOffers,
                                (i - windowStart + 1) + " offers in a window of " + machine);
                    }
                });
    }

    /**
     * Returns a placer that has just started: it knows the current list, but not the offers of its
     * last incarnation.
     */
    private PolicyDriver startPlacer(int instanceIndex, long nowMicros) {
        fixtures.instanceIndex = instanceIndex;
        fixtures.seed = random.nextLong();
        PolicyDriver driver = new PolicyDriver(fixtures);
        driver.nowMicros = nowMicros;
        List<MachineEntry> entries = new ArrayList<>();
        for (int machineIndex = 0; machineIndex < MACHINE_COUNT; machineIndex++) {
            if (startedAtMicros(machineIndex) <= nowMicros) {
                entries.add(machine(machineIndex));
            }
        }
        driver.send(new MachineListUpdated(1, ListUpdateKind.CACHED, entries));
        return driver;
    }

    private static long startedAtMicros(int machineIndex) {
        return START_MICROS + (1 + 7 * machineIndex) * SECOND;
    }

    private static MachineEntry machine(int machineIndex) {
        return PolicyFixtures.machine(
                "cold" + machineIndex, "a", MachineState.READY, 20, startedAtMicros(machineIndex));
    }

    private boolean isWarmingUp(String machine, long nowMicros) {
        return machine.startsWith("cold")
                && nowMicros
                        < startedAtMicros(machine.charAt(4) - '0')
                                + fixtures.settings().rules().slowStartMicros();
    }

    private void runStep(PolicyDriver driver, long nowMicros) {
        List<Action> actions =
                new ArrayList<>(driver.advance(nowMicros + STEP_MICROS - driver.nowMicros));
        for (int machineIndex = 0; machineIndex < MACHINE_COUNT; machineIndex++) {
            if (nowMicros >= startedAtMicros(machineIndex) && random.nextInt(10) == 0) {
                // Placers learn of a start at different times, and repeatedly.
                actions.addAll(driver.send(PolicyFixtures.deltaList(machine(machineIndex))));
            }
        }
        for (int burst = random.nextInt(4) == 0 ? random.nextInt(12) : 0; burst > 0; burst--) {
            actions.addAll(driver.send(PolicyFixtures.request("r" + requestCount++, "safe", 0.1)));
        }
        while (!actions.isEmpty()) {
            Action action = actions.remove(0);
            if (action instanceof Offer offer) {
                if (isWarmingUp(offer.machine(), driver.nowMicros)) {
                    // An offer over a new connection may arrive up to 250 ms later.
                    arrivalsByMachine
                            .computeIfAbsent(offer.machine(), machine -> new ArrayList<>())
                            .add(driver.nowMicros + random.nextInt((int) (250 * MILLISECOND)));
                }
                int attempt = attemptsByRequest.merge(offer.requestId(), 1, Integer::sum) - 1;
                AttemptOutcome outcome =
                        AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
                actions.addAll(
                        random.nextInt(3) == 0
                                ? driver.send(
                                        PolicyFixtures.attemptEnded(
                                                offer, attempt, outcome, OutcomeReason.NONE))
                                : driver.send(
                                        new AttemptAccepted(
                                                offer.requestId(),
                                                attempt,
                                                offer.machine(),
                                                50 * MILLISECOND)));
            }
        }
    }
}
