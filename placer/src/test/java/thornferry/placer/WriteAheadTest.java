package thornferry.placer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import thornferry.decisions.admission.AdmissionSettings;
import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Policy;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.recovery.MachineInventory;
import thornferry.decisions.requests.InvalidRequestException;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.ResultNotification;
import thornferry.decisions.requests.TaskSpec;
import thornferry.state.Journal;

/**
 * An offer of what must not start twice leaves only when its promise is durable, and only if it
 * still should.
 */
class WriteAheadTest implements PlacerOutput {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<JournalRecord> written = new ArrayList<>();
    private final List<Consumer<String>> unacknowledged = new ArrayList<>();
    private final List<String> offers = new ArrayList<>(); // attempts
    private final List<ResultNotification> news = new ArrayList<>();
    private final List<String> withdrawn = new ArrayList<>();
    private String trouble = "";
    private long now = 1_000 * SECOND;
    private PlacerCore core;

    private final Journal slow =
            new Journal() {
                @Override
                public void append(JournalRecord promise, Consumer<String> done) {
                    written.add(promise);
                    unacknowledged.add(done);
                }

                @Override
                public void compact(Supplier<Iterable<JournalRecord>> snapshot) {
                    // never large here
                }

                @Override
                public String writeFailure() {
                    return trouble;
                }

                @Override
                public void close() {
                    // nothing is open
                }
            };

    @BeforeEach
    void start() {
        channel.freezeTime();
        Site site =
                SiteFixtures.of(
                        1,
                        16,
                        List.of(
                                SiteFixtures.cls(
                                        "levy-run",
                                        Idempotency.NON_IDEMPOTENT,
                                        Placement.TopologyScope.NONE),
                                SiteFixtures.cls(
                                        "safe",
                                        Idempotency.IDEMPOTENT,
                                        Placement.TopologyScope.NONE)),
                        new RequestTracker.Limits(
                                1_000,
                                10_000,
                                60 * SECOND,
                                30 * SECOND,
                                3 * SECOND,
                                SECOND,
                                8 * SECOND),
                        AdmissionSettings.defaults());
        core =
                new PlacerCore(
                        new PlacerInstance(site, 0, channel.eventLoop(), () -> now),
                        Policy::new,
                        owner -> "",
                        new RecoveredState(slow, List.of(), true),
                        this);
        channel.runPendingTasks();
        core.registered(
                new NodeRegistration(
                        1,
                        new Membership.Registration(
                                "n", 5, "std", "a", 1, 16, 16, 3_600 * SECOND, 16, 16),
                        List.of(),
                        List.of(),
                        List.of(),
                        new EnumMap<>(
                                Map.of(
                                        Idempotency.NON_IDEMPOTENT,
                                        MachineInventory.WHOLE_INCARNATION))));
        pass(100 * MS);
    }

    private void pass(long time) {
        for (long end = now + time; now < end; ) {
            now += 20 * MS;
            channel.advanceTimeBy(20, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            core.tick();
            channel.runPendingTasks();
        }
    }

    private void ask(String cls) throws InvalidRequestException {
        core.submit("o", new TaskSpec("t", cls, "s", "", 1, 1, 2 * SECOND, 0));
        channel.runPendingTasks();
        pass(60 * MS);
    }

    private void acknowledge(String wrong) {
        List<Consumer<String>> all = List.copyOf(unacknowledged);
        unacknowledged.clear();
        all.forEach(d -> d.accept(wrong));
        channel.runPendingTasks();
    }

    @Test
    void anUnsafeOfferWaitsForItsPromiseAndAResultForItsOwn() throws Exception {
        ask("levy-run");
        assertThat(written).singleElement().isInstanceOf(JournalRecord.Offered.class);
        assertThat(offers).isEmpty();
        acknowledge(null);
        assertThat(offers).hasSize(1);
        core.attemptReported(
                "n",
                new AttemptReport(
                        offers.get(0), AttemptStatus.ACCEPTED, RejectionReason.NONE, false, null));
        assertThat(written.get(1)).isInstanceOf(JournalRecord.Completed.class);
        assertThat(news).isEmpty();
        acknowledge(null);
        assertThat(news).singleElement().returns(RequestResult.PLACED, ResultNotification::result);
    }

    @Test
    void aSafeOfferWaitsForNothing() throws Exception {
        ask("safe");
        assertThat(offers).hasSize(1);
        assertThat(written).isEmpty();
    }

    @Test
    void anOfferWhoseOwnerStoppedItMeanwhileIsNeverSent() throws Exception {
        ask("levy-run");
        core.stop("o", "t");
        acknowledge(null);
        pass(100 * MS);
        assertThat(offers).isEmpty();
        assertThat(withdrawn).isEmpty(); // the node never heard of it
        assertThat(written).anyMatch(p -> p instanceof JournalRecord.NeverRan);
    }

    @Test
    void anOfferToANodeThatBeganToDrainMeanwhileIsNeverSent() throws Exception {
        ask("levy-run");
        core.drain("n", true);
        acknowledge(null);
        pass(3 * SECOND);
        acknowledge(null);
        assertThat(offers).isEmpty();
        assertThat(news)
                .last()
                .returns(
                        RequestResult.REJECTED,
                        ResultNotification::result); // it never ran: that is harmless
    }

    @Test
    void anOfferWhoseNodeReconnectedMeanwhileIsNotSentUnderItsOldName() throws Exception {
        ask("levy-run");
        core.connectionClosed(1);
        core.registered(
                new NodeRegistration(
                        2,
                        new Membership.Registration(
                                "n", 5, "std", "a", 1, 16, 16, 3_600 * SECOND, 16, 16),
                        List.of(),
                        List.of(),
                        List.of(),
                        Map.of(Idempotency.NON_IDEMPOTENT, MachineInventory.WHOLE_INCARNATION)));
        String first = ((JournalRecord.Offered) written.get(0)).attempt();
        acknowledge(null);
        pass(500 * MS);
        acknowledge(null);
        assertThat(offers).doesNotContain(first);
    }

    @Test
    void withoutAJournalThatWritesUnsafeAsksAreRefusedWithTheReasonAndSafeOnesGoOn()
            throws Exception {
        ask("levy-run");
        trouble = "the journal cannot be written: No space left on device";
        acknowledge(trouble);
        pass(3 * SECOND);
        assertThat(offers).isEmpty();
        assertThat(news).last().returns(RequestResult.REJECTED, ResultNotification::result);
        core.submit("o", new TaskSpec("u", "levy-run", "s", "", 1, 1, 2 * SECOND, 0));
        assertThat(news)
                .last()
                .returns("u", ResultNotification::task)
                .returns(trouble, ResultNotification::reason);
        core.submit("o", new TaskSpec("v", "safe", "s", "", 1, 1, 2 * SECOND, 0));
        pass(500 * MS);
        assertThat(offers).hasSize(1);
        trouble = "";
        pass(200 * MS);
        core.submit("o", new TaskSpec("w", "levy-run", "s", "", 1, 1, 2 * SECOND, 0));
        pass(500 * MS);
        acknowledge(null);
        assertThat(offers).hasSize(2);
    }

    // ---- what comes out ----
    @Override
    public boolean offer(String machine, String attempt, RequestTracker.OfferDetails of) {
        offers.add(attempt);
        return true;
    }

    @Override
    public void cancelAttempt(String machine, String attempt) {
        withdrawn.add(attempt);
    }

    @Override
    public boolean checkHealth(String machine, long number) {
        return true;
    }

    @Override
    public void notifyDrain(String machine, boolean on) {
        // not looked at here
    }

    @Override
    public void welcome(String machine, long remember) {
        // not looked at here
    }

    @Override
    public void notifyResult(ResultNotification n) {
        news.add(n);
    }

    @Override
    public void closeConnection(long link, String why) {
        throw new AssertionError(why);
    }

    @Override
    public void reasonChanged(PendingReasons.ReasonChanged changed) {
        // nobody watches
    }
}
