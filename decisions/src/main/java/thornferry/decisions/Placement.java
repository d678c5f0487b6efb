package thornferry.decisions;

import java.util.List;
import java.util.function.Consumer;

/**
 * The interface of the placement module: what a placer is told, and what it may do.
 *
 * <p>One instance decides for one placer. Its host hands it every event together with the present
 * time and carries out the actions in the order given. All times and durations are microseconds;
 * {@code now} never goes back.
 */
public interface Placement {

    /**
     * Takes one event and hands to {@code actions}, in order, whatever is to be done at this very
     * moment.
     */
    void on(long now, Event event, Consumer<Action> actions);

    /** Whether a second start of a task does harm. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /**
     * A set of machines that belong together: for dropping the repeats of a key, or for spreading a
     * service.
     */
    enum Scope {
        NONE,
        MACHINE,
        CELL,
        ZONE,
        ALL
    }

    /** How load reports reach the placer. */
    enum Reports {
        NONE,
        WITH_ANSWERS,
        ON_PROBE
    }

    /**
     * What a list message holds: all machines (as last held, or fresh), changed ones only, or
     * nothing.
     */
    enum ListKind {
        CACHED,
        FULL,
        DELTA,
        FAILED
    }

    enum MachineState {
        GONE,
        READY,
        DRAINING
    }

    /** How an attempt ended. */
    enum Outcome {
        ENDED(false),
        ERROR(false),
        REFUSED(true),
        TIMED_OUT(false),
        UNREACHABLE(true),
        LOST(false),
        CANCELLED(false),
        NOT_SENT(true);

        /** True where the outcome proves that the task never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Why an attempt ended so, where told. */
    enum Reason {
        NONE,
        NO_CORES,
        NO_MEMORY,
        OFFERS_WAIT,
        NOT_HERE,
        EVICTED,
        PUSHED_OUT,
        SENT_AWAY
    }

    /** Why a listed, ready machine gets no offer of a held task now; see {@link Held}. */
    enum Cause {
        TOO_SMALL,
        WRONG_KIND,
        NO_CORES,
        NO_MEMORY,
        REFUSED,
        OUT_OF_TRUST,
        CLASS_OUT,
        CROWDED,
        FAILED_IT,
        KEY_GROUP,
        COLD,
        SPREAD
    }

    enum NoteKind {
        RUNS,
        CORES_USED,
        MEMORY_USED,
        SERVED,
        MACHINE_MEMORY
    }

    /**
     * A class of tasks. {@code spreadMost} counts only where {@code spread} is not NONE; kind -1
     * means any.
     */
    record TaskClass(
            String name,
            Effect effect,
            Scope keyScope,
            long keyWindow,
            long aim,
            long deadline,
            double worth,
            double lateWorth,
            double startSeconds,
            double calm,
            double fade,
            int priority,
            int needsKind,
            Scope spread,
            int spreadMost) {
        public TaskClass {
            check(name != null, "class name");
            check(effect != null, "class effect");
            check(keyScope != null && spread != null, "class scope");
            check(deadline > 0, "class deadline");
            check(keyWindow >= 0, "class key window");
            check(finite(worth) && finite(lateWorth) && finite(startSeconds), "class worth");
            check(finite(calm) && finite(fade), "class calm level");
            check(spreadMost >= 0, "class spread most");
        }
    }

    record MachineKind(String name, double cores, double memory) {
        public MachineKind {
            check(name != null, "machine kind name");
            check(finite(cores) && finite(memory), "machine kind size");
        }
    }

    /**
     * A tenant; {@code cores} is what it may ask for over all placers inside its share, 0 where not
     * told.
     */
    record Tenant(String name, double share, double cores) {
        public Tenant {
            check(name != null, "tenant name");
            check(finite(share) && finite(cores), "tenant share");
        }
    }

    record Prices(
            double fleet,
            double moves,
            double waste,
            double crossZone,
            double probe,
            double listLines,
            double refusedOffer,
            double evictionAsMoves) {
        public Prices {
            check(
                    finite(fleet)
                            && finite(moves)
                            && finite(waste)
                            && finite(crossZone)
                            && finite(probe)
                            && finite(listLines)
                            && finite(refusedOffer)
                            && finite(evictionAsMoves),
                    "prices");
        }
    }

    /** The figures of the rules; {@code coldOffers} within {@code coldWindow} are always borne. */
    record Rules(
            long answerGrace,
            long drainGrace,
            long mustAskIn,
            double coldFrom,
            long rampTime,
            double coldMultiple,
            long coldWindow,
            double coldOffers) {
        public Rules {
            check(answerGrace >= 0 && drainGrace >= 0 && mustAskIn >= 0, "rules grace");
            check(rampTime >= 0 && coldWindow >= 0 && finite(coldOffers), "rules cold machine");
            check(finite(coldFrom) && finite(coldMultiple), "rules cold machine");
        }
    }

    record Limits(
            boolean probes,
            boolean cancelling,
            boolean retryAfter,
            boolean secondAttempts,
            int attempts,
            long maxRetryAfter) {
        public Limits {
            check(attempts > 0, "limits attempts");
        }
    }

    /**
     * Everything that a placer is told at its start. {@code reportNames} order the values of a load
     * report.
     */
    record Settings(
            long seed,
            int number,
            int instances,
            String zone,
            List<TaskClass> classes,
            List<MachineKind> kinds,
            List<Tenant> tenants,
            Reports reports,
            List<String> reportNames,
            boolean countsUsed,
            boolean listShowsRoom,
            boolean mustAskForList,
            boolean placedWhenRunning,
            boolean useNotes,
            boolean displaces,
            boolean oneHome,
            double acceptCores,
            double acceptMemory,
            double meanCores,
            double meanMemory,
            double overShareWorth,
            long ownerWait,
            Prices prices,
            Rules rules,
            Limits limits) {
        public Settings {
            check(instances > 0, "instances");
            check(number >= 0, "number");
            check(zone != null, "zone");
            check(classes != null && !classes.isEmpty(), "classes");
            check(kinds != null && !kinds.isEmpty(), "kinds");
            check(tenants != null, "tenants");
            check(reports != null && reportNames != null, "reports");
            check(finite(acceptCores) && acceptCores > 0, "acceptCores");
            check(finite(acceptMemory) && acceptMemory > 0, "acceptMemory");
            check(finite(meanCores) && meanCores > 0, "meanCores");
            check(finite(meanMemory) && meanMemory > 0, "meanMemory");
            check(finite(overShareWorth) && overShareWorth >= 0, "overShareWorth");
            check(prices != null, "prices");
            check(rules != null, "rules");
            check(limits != null, "limits");
            classes = List.copyOf(classes);
            kinds = List.copyOf(kinds);
            tenants = List.copyOf(tenants);
            reportNames = List.copyOf(reportNames);
        }
    }

    /**
     * One line of the machine list; {@code started} is the last start's time, 0 for long ago; room
     * NaN if not told.
     */
    record MachineEntry(
            String machine,
            String zone,
            String kind,
            int cell,
            MachineState state,
            double coresFree,
            double memoryFree,
            double weight,
            long started) {}

    /**
     * A task as its owner asks for it; {@code patience} until it stops waiting, {@code runsFor} 0
     * if unknown.
     */
    record Ask(
            String id,
            String taskClass,
            String tenant,
            String task,
            long patience,
            long runsFor,
            String service,
            double cores,
            double memory,
            boolean again) {}

    sealed interface Event {}

    record MachineList(long version, ListKind kind, List<MachineEntry> entries) implements Event {}

    record Asked(Ask ask) implements Event {}

    /** A task that runs already and is now this placer's to look after, as its attempt 0. */
    record Running(Ask ask, String machine) implements Event {}

    record Noted(String id, int attempt, String machine, NoteKind kind, double level)
            implements Event {}

    record Placed(String id, int attempt, String machine, long waited) implements Event {}

    /**
     * The one outcome of an attempt; {@code settled} when nothing more is owed. A report may be
     * null.
     */
    record Ended(
            String id,
            int attempt,
            String machine,
            Outcome outcome,
            long waited,
            boolean settled,
            Reason reason,
            double[] report)
            implements Event {}

    record Probed(String machine, boolean answered, long waited, double[] report)
            implements Event {}

    record OwnerLeft(String id) implements Event {}

    record Timer(long ref) implements Event {}

    sealed interface Action {}

    /** Offers the task to a machine; attempts are numbered 0, 1, 2 ... in order. */
    record Offer(String id, String machine, long timeout) implements Action {}

    record Cancel(String id, int attempt) implements Action {}

    /** Stops a placed task; its owner soon asks anew. */
    record Move(String id) implements Action {}

    /** A final no that says trying again is harmless; {@code retryAfter} 0 gives no hint. */
    record Refuse(String id, long retryAfter) implements Action {}

    /** A final no that promises nothing. */
    record Fail(String id) implements Action {}

    record Probe(String machine) implements Action {}

    record SetTimer(long at, long ref) implements Action {}

    record Subscribe(boolean on) implements Action {}

    record FetchList() implements Action {}

    record Log(String text) implements Action {}

    /**
     * The task is held, for no machine will do now; told again whenever that changes. Nothing is to
     * be done.
     *
     * @param causes how many ready machines there are for each {@link Cause}, in the order of its
     *     constants
     * @param closest the machine that lacks the least room, empty where room is not what any lacks
     * @param cores what it lacks, at least
     */
    record Held(String id, List<Integer> causes, String closest, double cores, double memory)
            implements Action {}

    private static void check(boolean good, String field) {
        if (!good) {
            throw new IllegalArgumentException("invalid setting: " + field);
        }
    }

    private static boolean finite(double value) {
        return Double.isFinite(value);
    }
}
