package thornferry.placer;

import static thornferry.placer.SiteFixtures.MILLISECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.Journal;

/**
 * A journal on a disk. Each write takes some time, and makes all records durable that arrived
 * meanwhile. The disk survives the placer.
 */
final class SimulatedDisk implements Journal {
    private static final long MAX_WRITE_MICROS = 30 * MILLISECOND;
    private static final int TICKS_PER_COMPACTION = 200;

    private final VirtualTime time;
    private final SimulatedPlacer placer;
    private final InjectedFault fault;
    private final List<JournalRecord> durable = new ArrayList<>();
    private final List<JournalRecord> unwritten = new ArrayList<>();
    private final List<Consumer<String>> pendingCallbacks = new ArrayList<>();

    SimulatedDisk(VirtualTime time, SimulatedPlacer placer, InjectedFault fault) {
        this.time = time;
        this.placer = placer;
        this.fault = fault;
    }

    List<JournalRecord> durableRecords() {
        return List.copyOf(durable);
    }

    void replaceDurableRecords(Iterable<JournalRecord> records) {
        durable.clear();
        records.forEach(durable::add);
    }

    /**
     * Discards the unacknowledged records after the placer was killed. Any number of them, from the
     * first on, may have become durable.
     */
    void loseUnacknowledged() {
        durable.addAll(unwritten.subList(0, time.randomInt(unwritten.size() + 1)));
        unwritten.clear();
        pendingCallbacks.clear();
    }

    @Override
    public void append(JournalRecord record, Consumer<String> completed) {
        unwritten.add(record);
        pendingCallbacks.add(completed);
        if (fault == InjectedFault.JOURNAL_ACKNOWLEDGES_BEFORE_DURABLE) {
            completed.accept(null);
        }
        if (unwritten.size() == 1) {
            time.scheduleIn(
                    time.randomBetween(0, MAX_WRITE_MICROS),
                    placer.unlessKilled(this::makeDurable));
        }
    }

    private void makeDurable() {
        durable.addAll(unwritten);
        List<Consumer<String>> completed = List.copyOf(pendingCallbacks);
        unwritten.clear();
        pendingCallbacks.clear();
        if (fault != InjectedFault.JOURNAL_ACKNOWLEDGES_BEFORE_DURABLE) {
            completed.forEach(callback -> callback.accept(null));
        }
    }

    @Override
    public void compact(Supplier<Iterable<JournalRecord>> snapshot) {
        if (time.oneIn(TICKS_PER_COMPACTION) && unwritten.isEmpty()) {
            replaceDurableRecords(snapshot.get());
        }
    }

    @Override
    public String writeFailure() {
        return "";
    }

    @Override
    public void close() {
        // never called, since the placer is only killed
    }
}
