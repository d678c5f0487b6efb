package thornferry.placer;

import static thornferry.placer.SiteFixtures.SECOND;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import thornferry.decisions.requests.InvalidRequestException;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.ResultNotification;
import thornferry.decisions.requests.TaskSpec;

/** A client that submits tasks, submits them again, and checks the results that it receives. */
final class SimulatedClient {
    static final String SAFE = "safe";
    static final String KEYED = "keyed";
    static final String UNSAFE = "unsafe";

    private static final String OWNER = "o";
    private static final long REQUEST_TIMEOUT_MICROS = 25 * SECOND;
    private static final long MAX_RESUBMIT_DELAY_MICROS = SECOND / 2;
    private static final int MAX_CORES = 4;
    private static final int ANSWERED_PER_RESUBMITTED = 4;

    /** Task classes to choose from; most tasks must not run twice. */
    private static final List<String> CLASSES = List.of(SAFE, KEYED, UNSAFE, UNSAFE, UNSAFE);

    private static final class Request {
        final TaskSpec spec;
        final long deadlineMicros;
        int submissions;
        int firstResults;
        int ends;
        RequestResult lastResult; // null until there is one

        Request(TaskSpec spec, long deadlineMicros) {
            this.spec = spec;
            this.deadlineMicros = deadlineMicros;
        }

        boolean isUnsafe() {
            return spec.taskClass().equals(UNSAFE);
        }

        boolean isAnsweredForGood() {
            return lastResult != null && lastResult != RequestResult.REJECTED;
        }
    }

    private final VirtualTime time;
    private final SimulatedPlacer placer;
    private final SafetyMonitor monitor;

    /** Whether results outlast the placer, so that no later one may contradict them. */
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

    /** The placer has restarted: submits all requests again, soon. */
    void resubmitAll() {
        requests.values()
                .forEach(
                        request ->
                                time.scheduleIn(
                                        time.between(0, MAX_RESUBMIT_DELAY_MICROS),
                                        () -> submit(request)));
    }

    /** Submits a request again, but one that is answered for good only sometimes. */
    private void submit(Request request) {
        if (!placer.isUp() || time.now() >= request.deadlineMicros) {
            return;
        }
        if (request.isAnsweredForGood() && !time.oneIn(ANSWERED_PER_RESUBMITTED)) {
            return;
        }
        request.submissions++;
        try {
            placer.core().submit(OWNER, withMaxWait(request.spec, request.deadlineMicros));
        } catch (InvalidRequestException e) {
            monitor.violated(request.spec.id() + " was not accepted: " + e.getMessage());
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
            ended(request, notification);
        } else {
            answered(request, notification);
        }
    }

    private void ended(Request request, ResultNotification notification) {
        if (resultsPersist && request.isUnsafe() && !notification.repeated()) {
            request.ends++;
            if (request.ends > 1) {
                monitor.violated(notification.task() + " was reported to end a second time");
            }
        }
    }

    private void answered(Request request, ResultNotification notification) {
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
                && request.isAnsweredForGood()
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
            monitor.violated(task + " is rejected and ran as " + monitor.startedAttempt(task));
        }
        request.lastResult = result;
        if (result == RequestResult.REJECTED) {
            time.scheduleIn(notification.retryAfterMicros(), () -> submit(request));
        }
    }

    /** Each request with a deadline after this time must have a result. */
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
