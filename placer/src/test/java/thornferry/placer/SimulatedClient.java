package thornferry.placer;

import static thornferry.placer.SiteFixtures.SECOND;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import thornferry.decisions.requests.InvalidRequestException;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.ResultNotification;
import thornferry.decisions.requests.TaskSpec;

/** A client that submits and resubmits tasks and checks the results that it receives. */
final class SimulatedClient {
    static final String SAFE = "safe";
    static final String KEYED = "keyed";
    static final String UNSAFE = "unsafe";

    private static final String OWNER = "o";
    private static final long REQUEST_TIMEOUT_MICROS = 25 * SECOND;
    private static final long MAX_RESUBMIT_DELAY_MICROS = SECOND / 2;
    private static final int MAX_CORES = 4;
    private static final int FINAL_RESULTS_PER_RESUBMISSION = 4;

    /** The task classes of new tasks; UNSAFE is repeated, so that most tasks must not run twice. */
    private static final List<String> CLASSES = List.of(SAFE, KEYED, UNSAFE, UNSAFE, UNSAFE);

    private static final class Request {
        final TaskSpec spec;
        final long deadlineMicros;
        int submissions;
        int firstResults;
        int endNotifications;
        RequestResult lastResult; // null until the first result

        Request(TaskSpec spec, long deadlineMicros) {
            this.spec = spec;
            this.deadlineMicros = deadlineMicros;
        }

        boolean isUnsafe() {
            return spec.taskClass().equals(UNSAFE);
        }

        boolean hasFinalResult() {
            return lastResult != null && lastResult != RequestResult.REJECTED;
        }
    }

    private final VirtualTime time;
    private final SimulatedPlacer placer;
    private final SafetyMonitor monitor;

    /** True if results survive the placer, so that no later result may contradict them. */
    private final boolean resultsPersist;

    private final Map<String, Request> requests = new TreeMap<>();

    SimulatedClient(
            VirtualTime time,
            SimulatedPlacer placer,
            SafetyMonitor monitor,
            boolean resultsPersist) {
        this.time = time;
        this.placer = placer;
        this.monitor = monitor;
        this.resultsPersist = resultsPersist;
    }

    void submitNewTask() {
        String id = "t" + (requests.size() + 1);
        String taskClass = CLASSES.get(time.randomInt(CLASSES.size()));
        int cores = 1 + time.randomInt(MAX_CORES);
        Request request =
                new Request(
                        new TaskSpec(id, taskClass, taskClass, "k" + id, cores, 1, null, 0),
                        time.now() + REQUEST_TIMEOUT_MICROS);
        requests.put(id, request);
        submit(request);
    }

    /** Resubmits all requests after a restart of the placer, each after a random delay. */
    void resubmitAll() {
        requests.values()
                .forEach(
                        request ->
                                time.scheduleIn(
                                        time.randomBetween(0, MAX_RESUBMIT_DELAY_MICROS),
                                        () -> submit(request)));
    }

    /** Submits a request. A request that has a final result is resubmitted only sometimes. */
    private void submit(Request request) {
        if (!placer.isUp() || time.now() >= request.deadlineMicros) {
            return;
        }
        if (request.hasFinalResult() && !time.oneIn(FINAL_RESULTS_PER_RESUBMISSION)) {
            return;
        }
        request.submissions++;
        try {
            placer.core().submit(OWNER, withMaxWait(request.spec, request.deadlineMicros));
        } catch (InvalidRequestException e) {
            monitor.violated(request.spec.id() + " was rejected as invalid: " + e.getMessage());
        }
    }

    private TaskSpec withMaxWait(TaskSpec spec, long deadlineMicros) {
        return new TaskSpec(
                spec.id(),
                spec.taskClass(),
                spec.service(),
                spec.idempotencyKey(),
                spec.cores(),
                spec.memory(),
                deadlineMicros - time.now(),
                0);
    }

    void notified(ResultNotification notification) {
        placer.core().delivered(OWNER, notification.sequence());
        Request request = requests.get(notification.task());
        if (notification.result() == null) {
            checkEnd(request, notification);
        } else {
            checkResult(request, notification);
        }
    }

    private void checkEnd(Request request, ResultNotification notification) {
        if (resultsPersist && request.isUnsafe() && !notification.repeated()) {
            request.endNotifications++;
            if (request.endNotifications > 1) {
                monitor.violated(notification.task() + " was reported to have ended a second time");
            }
        }
    }

    private void checkResult(Request request, ResultNotification notification) {
        String task = notification.task();
        RequestResult result = notification.result();
        request.firstResults += notification.repeated() ? 0 : 1;
        if (request.firstResults > request.submissions) {
            monitor.violated(
                    task
                            + " has "
                            + request.firstResults
                            + " results for "
                            + request.submissions
                            + " submissions");
        }
        if (resultsPersist
                && request.isUnsafe()
                && request.hasFinalResult()
                && request.lastResult != result) {
            monitor.violated(
                    task
                            + " is "
                            + result
                            + " after it was "
                            + request.lastResult
                            + ": "
                            + notification.reason());
        }
        if (request.isUnsafe() && result == RequestResult.REJECTED && monitor.hasStarted(task)) {
            monitor.violated(
                    task + " is rejected although it started as " + monitor.startedAttempt(task));
        }
        request.lastResult = result;
        if (result == RequestResult.REJECTED) {
            time.scheduleIn(notification.retryAfterMicros(), () -> submit(request));
        }
    }

    /** Checks that each request with a deadline after this time has a result. */
    void requireResults(long deadlineAfterMicros) {
        requests.forEach(
                (id, request) -> {
                    if (request.deadlineMicros > deadlineAfterMicros
                            && request.lastResult == null) {
                        monitor.violated(id + " never had a result");
                    }
                });
    }
}
