package thornferry.state;

import java.util.function.Consumer;
import java.util.function.Supplier;
import thornferry.decisions.recovery.JournalRecord;

/**
 * Where promises are written. Calls come from one thread; what is called back may come from any.
 */
public interface Journal extends AutoCloseable {
    /** Keeps nothing, and says that it is kept: for a placer that promises nothing over its end. */
    Journal NONE = unwritten(null);

    /** One that cannot be written at all, for this reason. */
    static Journal broken(String why) {
        return unwritten(why);
    }

    private static Journal unwritten(String why) {
        return new Journal() {
            @Override
            public void append(JournalRecord promise, Consumer<String> done) {
                done.accept(why);
            }

            @Override
            public void compact(Supplier<Iterable<JournalRecord>> snapshot) {
                // there is nothing to compact
            }

            @Override
            public String writeFailure() {
                return why == null ? "" : why;
            }

            @Override
            public void close() {
                // nothing is open
            }
        };
    }

    /**
     * Appends a line; lines become durable in the order of the calls.
     *
     * @param done hears null once the line is as durable as configured, or what is wrong: then it
     *     may be lost, and what depends on it must not be done
     */
    void append(JournalRecord promise, Consumer<String> done);

    /**
     * To be called now and then: where the file has grown enough, it is written anew with only what
     * still counts; and where it could not be written, that is tried again.
     */
    void compact(Supplier<Iterable<JournalRecord>> snapshot);

    /** What keeps it from writing now; empty where it writes. */
    String writeFailure();

    @Override
    void close();
}
