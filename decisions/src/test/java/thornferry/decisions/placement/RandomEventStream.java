package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static thornferry.decisions.placement.PolicyFixtures.MILLISECOND;
import static thornferry.decisions.placement.PolicyFixtures.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
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
import thornferry.decisions.placement.Placement.TaskAdopted;
import thornferry.decisions.placement.Placement.TimerFired;
import thornferry.decisions.placement.PolicyFixtures.PolicyDriver;

/**
 * A reproducible stream of random events for one policy, whose actions a {@link RuleChecker}
 * checks.
 */
@SuppressWarnings("EnumOrdinal") // seeds and draws select constants by position
final class RandomEventStream {
    private static final List<String> CLASSES =
            List.of("safe", "keyed", "keyedAll", "unsafe", "spread", "cheap");
    private static final AttemptOutcome[] FAILED_OUTCOMES = {
        AttemptOutcome.REJECTED,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.LOST,
        AttemptOutcome.ERROR,
        AttemptOutcome.CANCELLED
    };
    private static final int MACHINES = 9;

    /** An attempt that has no outcome yet. */
    private record OpenAttempt(Offer offer, int attempt, long sentMicros) {
        long timeoutAtMicros() {
            return sentMicros + offer.timeoutMicros();
        }
    }

    private final Random random;
    private final PolicyDriver driver;
    private final RuleChecker checker;
    private final List<OpenAttempt> openAttempts = new ArrayList<>();
    private int requestCount;

    RandomEventStream(long seed) {
        random = new Random(seed);
        PolicyFixtures fixtures = new PolicyFixtures();
        fixtures.seed = seed;
        fixtures.instanceCount = 2;
        fixtures.loadReportMode = LoadReportMode.values()[(int) (seed % 3)];
        fixtures.reportsMeasureUsage = seed % 2 == 0;
        fixtures.listNeedsSubscription = seed % 4 < 2;
        driver = new PolicyDriver(fixtures);
        checker = new RuleChecker(fixtures.settings());
    }

    /** Sends this number of random events, then ends every open attempt. Returns the checker. */
    RuleChecker run(int steps) {
        send(new MachineListUpdated(1, ListUpdateKind.CACHED, randomEntries()));
        for (int step = 0; step < steps; step++) {
            advance(random.nextInt(40) * MILLISECOND);
            int kind = random.nextInt(10);
            if (kind < 5) {
                sendRequestOrAdoption();
            } else if (kind < 6) {
                sendList();
            } else if (!openAttempts.isEmpty()) {
                endAttempt(openAttempts.remove(random.nextInt(openAttempts.size())));
            }
        }
        while (!openAttempts.isEmpty()) {
            endAttempt(openAttempts.remove(0));
        }
        advance(20 * SECOND);
        checker.finish(driver.nowMicros);
        return checker;
    }

    private void sendRequestOrAdoption() {
        String taskClass = CLASSES.get(random.nextInt(CLASSES.size()));
        PlacementRequest request =
                new PlacementRequest(
                        "r" + requestCount++,
                        taskClass,
                        null,
                        "t",
                        (20 + random.nextInt(6000)) * MILLISECOND,
                        0,
                        taskClass + random.nextInt(3),
                        random.nextInt(4),
                        random.nextInt(6),
                        false);
        boolean adopted = random.nextInt(12) == 0;
        send(
                adopted
                        ? new TaskAdopted(request, "m" + random.nextInt(MACHINES))
                        : new PlacementRequested(request));
    }

    private void sendList() {
        if (random.nextInt(8) == 0) {
            send(new MachineListUpdated(1, ListUpdateKind.FAILED, List.of()));
            return;
        }
        ListUpdateKind kind = random.nextBoolean() ? ListUpdateKind.FULL : ListUpdateKind.DELTA;
        send(new MachineListUpdated(1, kind, randomEntries()));
    }

    private List<MachineEntry> randomEntries() {
        List<MachineEntry> entries = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            if (random.nextInt(5) > 0) {
                MachineState state =
                        random.nextInt(5) == 0 ? MachineState.DRAINING : MachineState.READY;
                long startedAtMicros =
                        random.nextInt(6) == 0 ? driver.nowMicros - random.nextInt(8) * SECOND : 0;
                entries.add(
                        PolicyFixtures.machine(
                                "m" + i,
                                i % 2 == 0 ? "a" : "b",
                                state,
                                random.nextInt(21),
                                startedAtMicros));
            }
        }
        return entries;
    }

    private void endAttempt(OpenAttempt attempt) {
        boolean timedOut = driver.nowMicros >= attempt.timeoutAtMicros();
        if (!timedOut && random.nextBoolean()) {
            acceptAndEnd(attempt);
            return;
        }
        AttemptOutcome outcome =
                timedOut
                        ? AttemptOutcome.TIMED_OUT
                        : FAILED_OUTCOMES[random.nextInt(FAILED_OUTCOMES.length)];
        OutcomeReason reason =
                outcome == AttemptOutcome.REJECTED
                        ? OutcomeReason.values()[random.nextInt(5)]
                        : OutcomeReason.NONE;
        send(attemptEnded(attempt, outcome, 10 * MILLISECOND, false, reason, null));
    }

    private void acceptAndEnd(OpenAttempt attempt) {
        send(
                new AttemptAccepted(
                        attempt.offer().requestId(),
                        attempt.attempt(),
                        attempt.offer().machine(),
                        10 * MILLISECOND));
        AttemptOutcome outcome =
                random.nextInt(4) == 0 ? AttemptOutcome.LOST : AttemptOutcome.COMPLETED;
        LoadReport report = LoadReport.ofFreeCapacity(random.nextInt(20), random.nextInt(40));
        send(attemptEnded(attempt, outcome, SECOND, true, OutcomeReason.NONE, report));
    }

    private static AttemptEnded attemptEnded(
            OpenAttempt attempt,
            AttemptOutcome outcome,
            long waitedMicros,
            boolean settled,
            OutcomeReason reason,
            LoadReport report) {
        return new AttemptEnded(
                attempt.offer().requestId(),
                attempt.attempt(),
                attempt.offer().machine(),
                outcome,
                waitedMicros,
                settled,
                reason,
                report);
    }

    private void send(Event event) {
        checker.recordEvent(driver.nowMicros, event);
        for (Action action : driver.send(event)) {
            checker.recordAction(driver.nowMicros, action);
            if (action instanceof Offer offer) {
                openAttempts.add(
                        new OpenAttempt(
                                offer, checker.attempts(offer.requestId()) - 1, driver.nowMicros));
            } else if (action instanceof CheckHealth check) {
                assertTrue(
                        checker.isKnown(check.machine()),
                        "health checks go to listed machines only");
            }
        }
    }

    /**
     * Advances the clock from one timer or timeout to the next. An attempt whose timeout passes
     * ends as timed out.
     */
    private void advance(long durationMicros) {
        long endMicros = driver.nowMicros + durationMicros;
        while (true) {
            long timerMicros =
                    driver.dueTimers.stream()
                            .mapToLong(Long::longValue)
                            .min()
                            .orElse(Long.MAX_VALUE);
            long timeoutMicros =
                    openAttempts.stream()
                            .mapToLong(OpenAttempt::timeoutAtMicros)
                            .min()
                            .orElse(Long.MAX_VALUE);
            long nextMicros = Math.min(timerMicros, timeoutMicros);
            if (nextMicros > endMicros) {
                break;
            }
            driver.nowMicros = Math.max(driver.nowMicros, nextMicros);
            if (timeoutMicros <= timerMicros) {
                timeOut(timeoutMicros);
            } else {
                driver.dueTimers.remove(timerMicros);
                send(new TimerFired(0));
            }
        }
        driver.nowMicros = endMicros;
    }

    private void timeOut(long timeoutMicros) {
        OpenAttempt attempt =
                openAttempts.stream()
                        .filter(open -> open.timeoutAtMicros() == timeoutMicros)
                        .findFirst()
                        .orElseThrow();
        openAttempts.remove(attempt);
        long waitedMicros = driver.nowMicros - attempt.sentMicros();
        send(
                attemptEnded(
                        attempt,
                        AttemptOutcome.TIMED_OUT,
                        waitedMicros,
                        false,
                        OutcomeReason.NONE,
                        null));
    }
}
