package thornferry.decisions.placement;

import java.util.function.Consumer;
import thornferry.decisions.placement.Placement.Action;

/**
 * The event being handled: its time, and the consumer of the actions that it leads to.
 *
 * <p>Each policy has one, which all its parts share and which is set at the start of every event.
 */
final class EventContext {
    private long nowMicros;
    private long firstEventMicros;
    private boolean started;
    private Consumer<Action> actions;

    /** Sets the context for the next event; returns whether it is the first. */
    boolean begin(long eventMicros, Consumer<Action> eventActions) {
        boolean first = !started;
        if (first) {
            firstEventMicros = eventMicros;
            started = true;
        }
        nowMicros = eventMicros;
        actions = eventActions;
        return first;
    }

    long nowMicros() {
        return nowMicros;
    }

    /** The time of the first event: what happened before is not known to this instance. */
    long firstEventMicros() {
        return firstEventMicros;
    }

    void emit(Action action) {
        actions.accept(action);
    }
}
