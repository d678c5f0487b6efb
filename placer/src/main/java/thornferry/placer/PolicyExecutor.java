package thornferry.placer;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import thornferry.decisions.placement.Placement;

/**
 * Feeds one placement module: one event at a time, in order, with timers no earlier than asked for.
 * It decides nothing. Events that come up while the module is at work wait their turn, so that it
 * is never entered twice.
 */
public final class PolicyExecutor {
    /**
     * What to do when the module throws: the request of the event, or null where it was about none.
     */
    public interface FailureHandler {
        void request(String id);
    }

    private final Placement module;
    private final EventLoop loop;
    private final Clock clock;
    private final Consumer<Placement.Action> actions;
    private final FailureHandler failed;
    private final Logger log;
    private final String instance;
    private final ArrayDeque<Placement.Event> waiting = new ArrayDeque<>();
    private boolean working;
    private long failures;

    public PolicyExecutor(
            Placement module,
            EventLoop loop,
            Clock clock,
            Consumer<Placement.Action> actions,
            FailureHandler failed,
            Logger log,
            String instance) {
        this.module = module;
        this.loop = loop;
        this.clock = clock;
        this.actions = actions;
        this.failed = failed;
        this.log = log;
        this.instance = instance;
    }

    public void accept(Placement.Event event) {
        waiting.add(event);
        if (working) {
            return;
        }
        working = true;
        try {
            for (Placement.Event next = waiting.poll(); next != null; next = waiting.poll()) {
                one(next);
            }
        } finally {
            working = false;
        }
    }

    private void one(Placement.Event event) {
        try {
            module.on(clock.now(), event, this::act);
        } catch (RuntimeException e) {
            // guards against a fault in the module taking every task with it: only the one in hand
            // fails
            failures++;
            log.atError()
                    .addKeyValue("instance", instance)
                    .addKeyValue("task", request(event))
                    .setCause(e)
                    .log("the module failed on {}", event.getClass().getSimpleName());
            if (request(event) != null) {
                failed.request(request(event));
            }
        }
    }

    private void act(Placement.Action action) {
        if (action instanceof Placement.SetTimer timer) {
            set(timer);
        } else {
            actions.accept(action);
        }
    }

    private void set(Placement.SetTimer timer) {
        long delay = Math.max(1, timer.atMicros() - clock.now());
        loop.schedule(
                () -> {
                    if (clock.now() < timer.atMicros()) {
                        set(timer);
                    } else {
                        accept(new Placement.TimerFired(timer.ref()));
                    }
                },
                delay,
                TimeUnit.MICROSECONDS);
    }

    private static String request(Placement.Event event) {
        if (event instanceof Placement.PlacementRequested e) {
            return e.request().id();
        } else if (event instanceof Placement.AttemptEnded e) {
            return e.requestId();
        } else if (event instanceof Placement.AttemptAccepted e) {
            return e.requestId();
        } else if (event instanceof Placement.TaskObserved e) {
            return e.requestId();
        } else if (event instanceof Placement.TaskAdopted e) {
            return e.request().id();
        }
        return null;
    }

    /** How often the module threw. */
    public long failures() {
        return failures;
    }
}
