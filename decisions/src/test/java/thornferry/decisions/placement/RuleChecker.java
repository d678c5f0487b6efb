package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.placement.Placement.Action;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.ClientDisconnected;
import thornferry.decisions.placement.Placement.Event;
import thornferry.decisions.placement.Placement.Fail;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineListUpdated;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.PlacementRequested;
import thornferry.decisions.placement.Placement.Reject;
import thornferry.decisions.placement.Placement.Settings;
import thornferry.decisions.placement.Placement.TaskAdopted;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.placement.Placement.TopologyScope;

/**
 * Checks the actions of one policy against the rules, independently of the implementation of the
 * policy.
 *
 * <ol>
 *   <li>Each request has one result in time.
 *   <li>No task runs twice that must not, and no request is rejected whose task may have run,
 *       unless a retry is safe.
 *   <li>Draining and gone machines get no offers.
 *   <li>Machines in slow start get at most this placer's share of the offers that they may get.
 *   <li>No scope runs more tasks of a service than the class allows.
 * </ol>
 */
final class RuleChecker {
    final List<String> violations = new ArrayList<>();
    int offerCount;
    private final Settings settings;
    private final Map<String, TaskRecord> tasks = new LinkedHashMap<>();
    private final Map<String, MachineEntry> machines = new LinkedHashMap<>();
    private final Map<String, Long> notReadySinceMicros = new LinkedHashMap<>();
    private final Map<String, List<Long>> offerMicrosByMachine = new LinkedHashMap<>();

    private static final class TaskRecord {
        PlacementRequest request;
        TaskClass taskClass;
        long requestedMicros;
        boolean hasResult;
        boolean attemptInFlight;
        int attempts;
        String machine;
        long sentMicros;
        String possibleRunMachine;
        long possibleRunSinceMicros;
    }

    RuleChecker(Settings settings) {
        this.settings = settings;
    }

    int attempts(String id) {
        return tasks.get(id).attempts;
    }

    boolean isKnown(String machine) {
        return machines.containsKey(machine);
    }

    private void recordViolation(int rule, long nowMicros, String violation) {
        violations.add("rule " + rule + " at " + nowMicros + ": " + violation);
    }

    void recordEvent(long nowMicros, Event event) {
        checkDeadlines(nowMicros);
        if (event instanceof MachineListUpdated list && list.kind() != ListUpdateKind.FAILED) {
            if (list.kind() != ListUpdateKind.DELTA) {
                machines.keySet().forEach(id -> notReadySinceMicros.putIfAbsent(id, nowMicros));
            }
            for (MachineEntry listed : list.entries()) {
                machines.put(listed.machine(), listed);
                if (listed.state() == MachineState.READY) {
                    notReadySinceMicros.remove(listed.machine());
                } else {
                    notReadySinceMicros.putIfAbsent(listed.machine(), nowMicros);
                }
            }
        } else if (event instanceof PlacementRequested requested) {
            addTask(nowMicros, requested.request());
        } else if (event instanceof TaskAdopted adopted) {
            TaskRecord task = addTask(nowMicros, adopted.request());
            task.hasResult = true;
            task.attemptInFlight = true;
            task.machine = adopted.machine();
            task.attempts = 1;
        } else if (event instanceof AttemptAccepted accepted) {
            tasks.get(accepted.requestId()).hasResult = true;
        } else if (event instanceof AttemptEnded ended) {
            TaskRecord task = tasks.get(ended.requestId());
            task.attemptInFlight = false;
            task.hasResult |= ended.hasResult();
            if (!ended.outcome().neverRan && task.possibleRunMachine == null) {
                task.possibleRunMachine = task.machine;
                task.possibleRunSinceMicros = task.sentMicros;
            }
        } else if (event instanceof ClientDisconnected disconnected
                && tasks.containsKey(disconnected.requestId())) {
            tasks.get(disconnected.requestId()).hasResult = true;
        }
    }

    private TaskRecord addTask(long nowMicros, PlacementRequest request) {
        TaskRecord task = new TaskRecord();
        task.request = request;
        task.requestedMicros = nowMicros;
        task.taskClass =
                settings.classes().stream()
                        .filter(candidate -> candidate.name().equals(request.taskClass()))
                        .findFirst()
                        .orElseThrow();
        tasks.put(request.id(), task);
        return task;
    }

    private void checkDeadlines(long nowMicros) {
        for (TaskRecord task : tasks.values()) {
            if (!task.hasResult
                    && nowMicros
                            > task.requestedMicros
                                    + task.request.maxWaitMicros()
                                    + settings.rules().answerGraceMicros()) {
                task.hasResult = true;
                recordViolation(1, nowMicros, task.request.id() + " has no result in time");
            }
        }
    }

    void finish(long nowMicros) {
        checkDeadlines(nowMicros);
    }

    void recordAction(long nowMicros, Action action) {
        checkDeadlines(nowMicros);
        if (action instanceof Offer offer) {
            offerCount++;
            checkOffer(nowMicros, offer, tasks.get(offer.requestId()));
        } else if (action instanceof Reject reject) {
            TaskRecord task = tasks.get(reject.requestId());
            boolean safeToRetry =
                    task.taskClass.idempotency() == Idempotency.IDEMPOTENT
                            || (task.possibleRunMachine == null && !task.attemptInFlight)
                            || (task.taskClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                    && task.taskClass.keyScope() == TopologyScope.ALL);
            if (!safeToRetry) {
                recordViolation(
                        2, nowMicros, task.request.id() + " is rejected though it may have run");
            }
            recordResult(nowMicros, task);
        } else if (action instanceof Fail fail) {
            recordResult(nowMicros, tasks.get(fail.requestId()));
        }
    }

    private void recordResult(long nowMicros, TaskRecord task) {
        if (task.hasResult) {
            recordViolation(1, nowMicros, task.request.id() + " has two results");
        }
        task.hasResult = true;
    }

    private void checkOffer(long nowMicros, Offer offer, TaskRecord task) {
        if (task.hasResult) {
            recordViolation(1, nowMicros, offer.requestId() + " is offered after its result");
        }
        if (task.attemptInFlight) {
            recordViolation(2, nowMicros, offer.requestId() + " has two attempts in flight");
        }
        if (task.possibleRunMachine != null
                && task.taskClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            recordViolation(
                    2, nowMicros, offer.requestId() + " may have run and is not idempotent");
        }
        MachineEntry entry = machines.get(offer.machine());
        if (task.possibleRunMachine != null
                && task.taskClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
            boolean withinKeyScope =
                    task.taskClass.keyScope() == TopologyScope.ALL
                            || machines.get(task.possibleRunMachine).zone().equals(entry.zone());
            if (!withinKeyScope
                    || nowMicros > task.possibleRunSinceMicros + task.taskClass.keyWindowMicros()) {
                recordViolation(
                        2,
                        nowMicros,
                        offer.requestId() + " is offered again outside its key scope or window");
            }
        }
        Long notReadySince = notReadySinceMicros.get(offer.machine());
        if (notReadySince != null
                && nowMicros > notReadySince + settings.rules().drainGraceMicros()) {
            recordViolation(3, nowMicros, offer.machine() + " is draining or gone");
        }
        checkSlowStart(nowMicros, entry);
        task.attempts++;
        task.attemptInFlight = true;
        task.machine = offer.machine();
        task.sentMicros = nowMicros;
        checkSpread(nowMicros, task, entry);
    }

    private void checkSlowStart(long nowMicros, MachineEntry entry) {
        List<Long> offers =
                offerMicrosByMachine.computeIfAbsent(entry.machine(), id -> new ArrayList<>());
        offers.add(nowMicros);
        long windowMicros = settings.rules().slowStartWindowMicros();
        long recentOffers = offers.stream().filter(at -> at > nowMicros - windowMicros).count();
        boolean warmingUp =
                entry.startedAtMicros() > 0
                        && nowMicros < entry.startedAtMicros() + settings.rules().slowStartMicros();
        if (warmingUp
                && recentOffers * settings.instanceCount() > settings.rules().slowStartOffers()) {
            recordViolation(
                    4,
                    nowMicros,
                    entry.machine()
                            + " gets more than this placer's share of offers in slow start");
        }
    }

    private void checkSpread(long nowMicros, TaskRecord offered, MachineEntry entry) {
        if (offered.taskClass.spreadScope() != TopologyScope.ZONE) {
            return;
        }
        long running =
                tasks.values().stream()
                        .filter(
                                task ->
                                        task.attemptInFlight
                                                && task.request
                                                        .service()
                                                        .equals(offered.request.service())
                                                && machines.containsKey(task.machine)
                                                && machines.get(task.machine)
                                                        .zone()
                                                        .equals(entry.zone()))
                        .count();
        if (running > offered.taskClass.maxTasksPerScope()) {
            recordViolation(
                    5,
                    nowMicros,
                    offered.request.service() + " has " + running + " in zone " + entry.zone());
        }
    }
}
