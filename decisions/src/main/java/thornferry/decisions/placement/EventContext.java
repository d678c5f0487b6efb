package thornferry.decisions.placement;

import java.util.function.Consumer;
import thornferry.decisions.placement.Placement.Action;

/**
 * The event that is being handled: its time, and the consumer of the actions that follow from it.
 *
 * <p>Each policy has one context, which its components share and which is set at the start of every
 * event.
 */
final class EventContext {
    private long nowMicros;
    private long firstEventMicros;
    private boolean hasBegun;
    private Consumer<Action> actions;

    /** Sets the context for the next event; returns whether it is the first. */
    boolean begin(long eventMicros, Consumer<Action> eventActions) {
        boolean first = !hasBegun;
        if (first) {
            firstEventMicros = eventMicros;
            hasBegun = true;
        }
        nowMicros = eventMicros;
        actions = eventActions;
        return first;
    }

    long nowMicros() {
        return nowMicros;
    }

    /** Returns the time of the first event. This instance knows nothing of what happened before. */
    long firstEventMicros() {
        return firstEventMicros;
    }

    void emit(Action action) {
        actions.accept(action);
    }
}
