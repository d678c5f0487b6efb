package thornferry.placer;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import thornferry.decisions.placement.Policy;

/** The incarnations of a placer in virtual time. */
final class SimulatedPlacer {
    private final VirtualTime time;
    private final Site site;
    private final boolean journaled;
    private final SimulatedDisk disk;
    private final PlacerOutput output;
    private EmbeddedChannel channel;
    private PlacerCore core; // null while the placer is down
    private int incarnation;

    SimulatedPlacer(
            VirtualTime time,
            Site site,
            boolean journaled,
            InjectedFault fault,
            PlacerOutput output) {
        this.time = time;
        this.site = site;
        this.journaled = journaled;
        this.output = output;
        disk = new SimulatedDisk(time, this, fault);
    }

    void start() {
        incarnation++;
        channel = new EmbeddedChannel();
        channel.freezeTime();
        RecoveredState recovered =
                journaled
                        ? new RecoveredState(disk, disk.durableRecords(), true)
                        : RecoveredState.NO_JOURNAL;
        core =
                new PlacerCore(
                        new PlacerInstance(site, 0, channel.eventLoop(), time::now),
                        Policy::new,
                        owner -> "",
                        recovered,
                        output);
        disk.replaceDurableRecords(List.copyOf(core.recordsToKeep()));
    }

    void kill() {
        core = null;
        channel = null;
        disk.loseUnacknowledged();
    }

    boolean isUp() {
        return core != null;
    }

    PlacerCore core() {
        return core;
    }

    /** Returns a task that does nothing once the current incarnation has been killed. */
    Runnable unlessKilled(Runnable task) {
        int scheduledIn = incarnation;
        return () -> {
            if (incarnation == scheduledIn && isUp()) {
                task.run();
            }
        };
    }

    /**
     * Advances the event loop of the placer, if the placer is up, to a time. The caller advances
     * the clock afterwards.
     */
    void advanceTo(long toMicros) {
        if (channel != null) {
            channel.advanceTimeBy(toMicros - time.now(), TimeUnit.MICROSECONDS);
        }
    }

    void runPendingTasks() {
        if (channel != null) {
            channel.runPendingTasks();
        }
    }

    void tick() {
        if (core != null) {
            core.tick();
        }
    }
}
