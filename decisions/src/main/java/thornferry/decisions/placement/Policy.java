package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The placement policy of one placer. It dispatches each event and defines the order of the steps
 * that follow; the other classes of this package implement the steps.
 *
 * <p>A request usually passes these steps: filter the ready machines, draw a sample of about twice
 * the square root of the number of eligible ones, score the sample, offer the task to the machine
 * with the best score.
 */
public final class Policy implements Placement {
    /**
     * The interval at which pending tasks, deadlines and health checks are processed. It is short
     * compared to any latency objective.
     */
    static final long TICK_INTERVAL_MICROS = 20 * Micros.MILLISECOND;

    /**
     * The tick interval if placers outnumber machines, no task is pending and no machine is
     * ejected.
     */
    private static final long IDLE_TICK_INTERVAL_MICROS = 1 * Micros.SECOND;

    private static final long NO_TIMER = Long.MAX_VALUE;

    /** The reference of every timer. All timers are for the next tick. */
    private static final long TICK_TIMER_REF = 0;

    private static final long NEVER_PRUNED_MICROS = 0;

    private final Settings settings;
    private final TaskClassCatalog classes;
    private final EventContext context = new EventContext();
    private final TaskTracker tasks = new TaskTracker();
    private final RequestRate requestRate = new RequestRate();
    private final ServiceAffinity affinity;
    private final MachineTracker machines;
    private final PreferredMachines preferredMachines;
    private final TaskUsageEstimator usage;
    private final UtilizationEstimator utilization;
    private final OutlierEjection ejection;
    private final HealthChecker healthChecker;
    private final OfferHealthChecks offerHealthChecks;
    private final CandidateFilter candidateFilter;
    private final MachineSampler sampler;
    private final MachineScorer scorer;
    private final AttemptTimeoutEstimator timeouts;
    private final Reservations reservations;
    private final OfferSender offers;
    private final PendingTasks pendingTasks;
    private final RejectOrFail rejectOrFail;
    private final ListSubscription listSubscription;
    private long lastTickMicros;
    private long lastPruneMicros = NEVER_PRUNED_MICROS;
    private long nextTimerMicros = NO_TIMER;

    /** Creates the policy of one placer. All its random numbers are drawn from the seed. */
    public Policy(Settings settings) {
        this.settings = settings;
        classes = new TaskClassCatalog(settings.classes());
        affinity = new ServiceAffinity(context);
        machines = new MachineTracker(settings, context, affinity);
        preferredMachines = new PreferredMachines(settings, machines);
        usage = new TaskUsageEstimator(settings);
        utilization = new UtilizationEstimator(settings, context, machines, usage);
        ejection = new OutlierEjection(settings, context, machines);
        healthChecker = new HealthChecker(settings, context, machines, ejection, requestRate);
        offerHealthChecks = new OfferHealthChecks(settings, context, machines, healthChecker);
        candidateFilter =
                new CandidateFilter(
                        context,
                        machines,
                        ejection,
                        new CapacityFilter(settings, classes, usage, utilization),
                        new SlowStartLimiter(settings, context),
                        affinity);
        sampler = new MachineSampler(settings, machines, preferredMachines, affinity);
        scorer = new MachineScorer(settings, classes, utilization, affinity);
        timeouts = new AttemptTimeoutEstimator(settings);
        reservations = new Reservations(context, affinity, usage);
        offers = new OfferSender(context, affinity, timeouts, reservations);
        pendingTasks = new PendingTasks(context, machines);
        rejectOrFail = new RejectOrFail(settings, context);
        listSubscription = new ListSubscription(settings, context);
    }

    @Override
    public void handle(long nowMicros, Event event, Consumer<Action> actions) {
        boolean first = context.begin(nowMicros, actions);
        if (first) {
            lastTickMicros = nowMicros;
        }
        if (!(event instanceof TimerFired || event instanceof PlacementRequested)) {
            pendingTasks.markStateChanged();
        }
        dispatch(event);
        scheduleTimer();
    }

    private void dispatch(Event event) {
        if (event instanceof PlacementRequested requested) {
            requestPlacement(requested.request());
        } else if (event instanceof AttemptEnded ended) {
            endAttempt(ended);
        } else if (event instanceof AttemptAccepted accepted) {
            acceptAttempt(accepted);
        } else if (event instanceof TaskObserved observed) {
            observeTask(observed);
        } else if (event instanceof HealthCheckCompleted completed) {
            completeHealthCheck(completed);
        } else if (event instanceof TaskAdopted adopted) {
            adoptTask(adopted);
        } else if (event instanceof ClientDisconnected disconnected) {
            abandonTask(disconnected.requestId());
        } else if (event instanceof MachineListUpdated updated) {
            updateMachineList(updated);
        } else if (event instanceof TimerFired) {
            tick();
        }
    }

    /** Sets a timer for the next tick, unless one is set that fires no later. */
    private void scheduleTimer() {
        long dueMicros = Math.max(context.nowMicros() + 1, lastTickMicros + tickIntervalMicros());
        if (dueMicros < nextTimerMicros) {
            nextTimerMicros = dueMicros;
            context.emit(new SetTimer(dueMicros, TICK_TIMER_REF));
        }
    }

    private long tickIntervalMicros() {
        if (!pendingTasks.isEmpty() || !machines.isOutnumberedByPlacers()) {
            return TICK_INTERVAL_MICROS;
        }
        return ejection.isAnyEjected() || !listSubscription.isActive()
                ? PendingTasks.RETRY_INTERVAL_MICROS
                : IDLE_TICK_INTERVAL_MICROS;
    }

    private void tick() {
        long nowMicros = context.nowMicros();
        long elapsedMicros = nowMicros - lastTickMicros;
        lastTickMicros = nowMicros;
        requestRate.update(elapsedMicros);
        if (nowMicros >= nextTimerMicros) {
            nextTimerMicros = NO_TIMER;
        }
        if (nowMicros - lastPruneMicros >= ServiceAffinity.PROGRAM_RETENTION_MICROS) {
            lastPruneMicros = nowMicros;
            affinity.prune();
            machines.prune();
        }
        listSubscription.renewIfDue();
        healthChecker.checkDueMachines(elapsedMicros);
        retryPendingTasks();
    }

    private void updateMachineList(MachineListUpdated event) {
        listSubscription.update(event.kind());
        if (event.kind() != ListUpdateKind.FAILED) {
            machines.updateList(event);
        }
    }

    private void completeHealthCheck(HealthCheckCompleted event) {
        if (healthChecker.complete(event)) {
            retryPendingTasks();
        }
    }

    private void requestPlacement(PlacementRequest request) {
        requestRate.count();
        if (tasks.contains(request.id())) {
            return;
        }
        TrackedTask task = track(request);
        if (preferredMachines.areNeeded() && !settings.onePlacerPerService()) {
            task.setPreferredMachines(preferredMachines.forService(task.service()));
        }
        placeOrPend(task);
    }

    private TrackedTask track(PlacementRequest request) {
        TrackedTask task =
                new TrackedTask(request, classes.find(request.taskClass()), context.nowMicros());
        tasks.add(task);
        return task;
    }

    private void retryPendingTasks() {
        pendingTasks.retry(this::placeOrPend);
    }

    /**
     * Offers the task to a machine or leaves it pending. If the task must not be offered again, or
     * if the client stops waiting before the next tick, the request is rejected or failed.
     */
    private void placeOrPend(TrackedTask task) {
        long nowMicros = context.nowMicros();
        if (rejectOrFail.isRetryForbidden(task) || task.expiresBeforeNextTick(nowMicros)) {
            sendNegativeResult(task);
            return;
        }
        CandidateSummary candidates = candidateFilter.filter(task);
        TrackedMachine machine = selectMachine(task, candidates);
        if (machine != null) {
            offers.send(task, machine);
        } else if (task.isResultDue(nowMicros)) {
            sendNegativeResult(task);
        } else {
            pendingTasks.add(task, candidates);
        }
    }

    /** Returns the machine to offer the task to, or null if the task must wait. */
    private TrackedMachine selectMachine(TrackedTask task, CandidateSummary candidates) {
        Set<TrackedMachine> sample = sampler.sample(task, candidates.eligible());
        utilization.refreshMeans();
        sample.forEach(machine -> machine.setRank(scorer.score(machine, task)));
        List<TrackedMachine> ranked = new ArrayList<>(sample);
        ranked.sort(Comparator.comparingDouble(TrackedMachine::rank));
        boolean mustWait = offerHealthChecks.mustWait(task, ranked);
        return mustWait || ranked.isEmpty() ? null : ranked.get(0);
    }

    private void sendNegativeResult(TrackedTask task) {
        tasks.remove(task.id());
        rejectOrFail.send(task);
    }

    private void acceptAttempt(AttemptAccepted event) {
        TrackedTask task = tasks.find(event.requestId());
        if (task == null || !task.awaitsAcceptance()) {
            return;
        }
        task.accept();
        ejection.recordAcceptance(task);
        timeouts.recordResponseTime(task, event.elapsedMicros());
        if (settings.acceptedWhenRunning()) {
            reservations.markStarted(task);
        }
    }

    private void endAttempt(AttemptEnded event) {
        TrackedTask task = tasks.findByAttempt(event.requestId(), event.attempt());
        if (task == null) {
            return;
        }
        boolean accepted = !task.awaitsAcceptance();
        task.endAttempt(event.hasResult());
        reservations.release(task, accepted);
        machines.recordReport(task.machine(), event.report());
        if (accepted) {
            ejection.recordTermination(task.machine(), event);
        } else {
            recordFailedAttempt(task, event);
        }
        if (task.stage() == TrackedTask.Stage.FINISHED) {
            tasks.remove(event.requestId());
        } else {
            retryAfterAttempt(task, event);
        }
    }

    private void recordFailedAttempt(TrackedTask task, AttemptEnded event) {
        if (event.outcome() == AttemptOutcome.REJECTED && !settings.acceptedWhenRunning()) {
            timeouts.recordResponseTime(task, event.elapsedMicros());
        }
        ejection.recordFailedAttempt(task, event);
    }

    private void retryAfterAttempt(TrackedTask task, AttemptEnded event) {
        if (!event.outcome().neverRan) {
            task.recordPossibleRun();
        }
        boolean duplicateMayRun = event.reason() == OutcomeReason.UNAVAILABLE && task.mayHaveRun();
        if (duplicateMayRun) {
            sendNegativeResult(task);
        } else {
            placeOrPend(task);
        }
    }

    private void abandonTask(String requestId) {
        TrackedTask task = tasks.find(requestId);
        if (task == null) {
            return;
        }
        task.abandon();
        if (!task.hasActiveAttempt()) {
            tasks.remove(requestId);
        }
    }

    private void adoptTask(TaskAdopted event) {
        if (tasks.contains(event.request().id())) {
            return;
        }
        TrackedTask task = track(event.request());
        task.adopt(machines.findOrAdd(event.machine()));
        reservations.adopt(task);
    }

    private void observeTask(TaskObserved event) {
        TrackedTask task = tasks.findByAttempt(event.requestId(), event.attempt());
        if (task == null) {
            return;
        }
        switch (event.kind()) {
            case RUNNING -> reservations.markStarted(task);
            case CORES_USED -> usage.observe(task, Resource.CORES, event.value());
            case MEMORY_USED -> usage.observe(task, Resource.MEMORY, event.value());
            case MACHINE_MEMORY -> {
                if (settings.reportsMeasureUsage()) {
                    task.machine().load().inUse(Resource.MEMORY).update(event.value());
                }
            }
            default -> {}
        }
    }

    /** The numbers of retained objects, by which tests check for leaks. */
    record RetainedState(int machines, int tasks, int pendingTasks, int services) {}

    RetainedState retainedState() {
        return new RetainedState(
                machines.allMachines().size(),
                tasks.size(),
                pendingTasks.size(),
                affinity.serviceCount());
    }
}
