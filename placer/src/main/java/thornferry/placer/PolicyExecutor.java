package thornferry.placer;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import thornferry.decisions.placement.Placement;

/**
 * Passes events to a placement policy, one at a time and in order, and fires the timers that the
 * policy sets, never early. Events that arise while the policy processes another one are queued, so
 * that the policy is never re-entered. An exception of the policy affects only the request of the
 * event that caused it. Everything runs on the event loop.
 */
public final class PolicyExecutor {
    /** Handles exceptions that the policy throws on an event that is about a request. */
    public interface FailureHandler {
        /** Fails the request, which the policy may no longer track. */
        void policyFailed(String requestId);
    }

    private static final long MIN_DELAY_MICROS = 1;

    private final Placement policy;
    private final EventLoop loop;
    private final Clock clock;
    private final Consumer<Placement.Action> actions;
    private final FailureHandler failureHandler;
    private final Logger log;
    private final String instance;
    private final Queue<Placement.Event> queuedEvents = new ArrayDeque<>();
    private boolean processing;
    private long failures;

    /**
     * @param actions receives each action of the policy except timers
     * @param log receives the exceptions of the policy
     * @param instance the name of the instance in the log
     */
    public PolicyExecutor(
            Placement policy,
            EventLoop loop,
            Clock clock,
            Consumer<Placement.Action> actions,
            FailureHandler failureHandler,
            Logger log,
            String instance) {
        this.policy = policy;
        this.loop = loop;
        this.clock = clock;
        this.actions = actions;
        this.failureHandler = failureHandler;
        this.log = log;
        this.instance = instance;
    }

    /**
     * Passes an event to the policy. The policy processes the event before this method returns or,
     * if it is processing another event, after that one.
     */
    public void accept(Placement.Event event) {
        queuedEvents.add(event);
        if (processing) {
            return;
        }
        processing = true;
        try {
            Placement.Event next = queuedEvents.poll();
            while (next != null) {
                process(next);
                next = queuedEvents.poll();
            }
        } finally {
            processing = false;
        }
    }

    /** Returns the number of exceptions that the policy has thrown. */
    public long failures() {
        return failures;
    }

    private void process(Placement.Event event) {
        try {
            policy.handle(clock.now(), event, this::carryOut);
        } catch (RuntimeException e) {
            failures++;
            String requestId = requestId(event);
            log.atError()
                    .addKeyValue("instance", instance)
                    .addKeyValue("task", requestId)
                    .setCause(e)
                    .log("the policy failed on {}", event.getClass().getSimpleName());
            if (requestId != null) {
                failureHandler.policyFailed(requestId);
            }
        }
    }

    private void carryOut(Placement.Action action) {
        if (action instanceof Placement.SetTimer timer) {
            schedule(timer);
        } else {
            actions.accept(action);
        }
    }

    private void schedule(Placement.SetTimer timer) {
        long delayMicros = Math.max(MIN_DELAY_MICROS, timer.atMicros() - clock.now());
        loop.schedule(() -> fire(timer), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void fire(Placement.SetTimer timer) {
        if (clock.now() < timer.atMicros()) {
            schedule(timer); // the event loop's clock is ahead of this clock
        } else {
            accept(new Placement.TimerFired(timer.ref()));
        }
    }

    /** Returns the id of the request that an event is about, or null if there is none. */
    private static String requestId(Placement.Event event) {
        if (event instanceof Placement.PlacementRequested requested) {
            return requested.request().id();
        } else if (event instanceof Placement.AttemptEnded ended) {
            return ended.requestId();
        } else if (event instanceof Placement.AttemptAccepted accepted) {
            return accepted.requestId();
        } else if (event instanceof Placement.TaskObserved observed) {
            return observed.requestId();
        } else if (event instanceof Placement.TaskAdopted adopted) {
            return adopted.request().id();
        }
        return null;
    }
}
