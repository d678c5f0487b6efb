package thornferry.placer;

import static org.assertj.core.api.Assertions.assertThat;
import static thornferry.placer.SiteFixtures.MILLISECOND;
import static thornferry.placer.SiteFixtures.SECOND;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
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
import thornferry.decisions.membership.RejectionReason;
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
 * Checks that an offer of a non-idempotent task is sent only once its record is durable, and only
 * if the offer is still valid then. Otherwise a placer that restarts could start the task twice.
 */
class WriteAheadTest implements PlacerOutput {
    private static final String NODE = "n";
    private static final String OWNER = "o";
    private static final String UNSAFE = "unsafe";
    private static final String SAFE = "safe";
    private static final long TICK_MILLIS = 20;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<JournalRecord> records = new ArrayList<>();
    private final List<Consumer<String>> pendingCallbacks = new ArrayList<>();
    private final List<String> offeredAttempts = new ArrayList<>();
    private final List<ResultNotification> notifications = new ArrayList<>();
    private final List<String> cancelledAttempts = new ArrayList<>();
    private String writeFailure = "";
    private long nowMicros = 1_000 * SECOND;
    private PlacerCore core;

    /** A journal that completes records only when the test calls {@link #completeRecords}. */
    private final Journal slowJournal =
            new Journal() {
                @Override
                public void append(JournalRecord journalRecord, Consumer<String> completed) {
                    records.add(journalRecord);
                    pendingCallbacks.add(completed);
                }

                @Override
                public void compact(Supplier<Iterable<JournalRecord>> snapshot) {
                    // the journal never grows large enough
                }

                @Override
                public String writeFailure() {
                    return writeFailure;
                }

                @Override
                public void close() {
                    // nothing is open
                }
            };

    @BeforeEach
    void startPlacerWithOneNode() {
        channel.freezeTime();
        Site site =
                SiteFixtures.site(
                        1,
                        16,
                        List.of(
                                SiteFixtures.taskClass(UNSAFE, Idempotency.NON_IDEMPOTENT),
                                SiteFixtures.taskClass(SAFE, Idempotency.IDEMPOTENT)),
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
                        new PlacerInstance(site, 0, channel.eventLoop(), () -> nowMicros),
                        Policy::new,
                        owner -> "",
                        new RecoveredState(slowJournal, List.of(), true),
                        this);
        channel.runPendingTasks();
        registerNode(1);
        advance(100 * MILLISECOND);
    }

    private void registerNode(long connection) {
        core.registered(
                new NodeRegistration(
                        connection,
                        SiteFixtures.idleMachine(NODE, 5, 16),
                        List.of(),
                        List.of(),
                        List.of(),
                        Map.of(Idempotency.NON_IDEMPOTENT, MachineInventory.WHOLE_INCARNATION)));
    }

    private void advance(long durationMicros) {
        long endMicros = nowMicros + durationMicros;
        while (nowMicros < endMicros) {
            nowMicros += TICK_MILLIS * MILLISECOND;
            channel.advanceTimeBy(TICK_MILLIS, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            core.tick();
            channel.runPendingTasks();
        }
    }

    private void submit(String id, String taskClass) throws InvalidRequestException {
        core.submit(OWNER, new TaskSpec(id, taskClass, "s", "", 1, 1, 2 * SECOND, 0));
    }

    private void submitAndAdvance(String taskClass) throws InvalidRequestException {
        submit("t", taskClass);
        channel.runPendingTasks();
        advance(60 * MILLISECOND);
    }

    private void acknowledgeRecords() {
        completeRecords(null);
    }

    /**
     * @param failure null if the records are durable
     */
    private void completeRecords(String failure) {
        List<Consumer<String>> callbacks = List.copyOf(pendingCallbacks);
        pendingCallbacks.clear();
        callbacks.forEach(callback -> callback.accept(failure));
        channel.runPendingTasks();
    }

    @Test
    void sendsUnsafeOfferAndResultOnlyOnceTheirRecordsAreDurable() throws Exception {
        submitAndAdvance(UNSAFE);
        assertThat(records).singleElement().isInstanceOf(JournalRecord.Offered.class);
        assertThat(offeredAttempts).isEmpty();
        acknowledgeRecords();
        assertThat(offeredAttempts).hasSize(1);
        core.attemptReported(
                NODE,
                new AttemptReport(
                        offeredAttempts.get(0),
                        AttemptStatus.ACCEPTED,
                        RejectionReason.NONE,
                        false,
                        null));
        assertThat(records.get(1)).isInstanceOf(JournalRecord.Completed.class);
        assertThat(notifications).isEmpty();
        acknowledgeRecords();
        assertThat(notifications)
                .singleElement()
                .returns(RequestResult.PLACED, ResultNotification::result);
    }

    @Test
    void sendsSafeOfferWithoutRecord() throws Exception {
        submitAndAdvance(SAFE);
        assertThat(offeredAttempts).hasSize(1);
        assertThat(records).isEmpty();
    }

    @Test
    void neverSendsOfferOfTaskStoppedMeanwhile() throws Exception {
        submitAndAdvance(UNSAFE);
        core.stop(OWNER, "t");
        acknowledgeRecords();
        advance(100 * MILLISECOND);
        assertThat(offeredAttempts).isEmpty();
        assertThat(cancelledAttempts).isEmpty(); // the node does not know the attempt
        assertThat(records).anyMatch(JournalRecord.NeverRan.class::isInstance);
    }

    @Test
    void neverSendsOfferToNodeThatBeganToDrainMeanwhile() throws Exception {
        submitAndAdvance(UNSAFE);
        core.drain(NODE, true);
        acknowledgeRecords();
        advance(3 * SECOND);
        acknowledgeRecords();
        assertThat(offeredAttempts).isEmpty();
        // rejected instead of failed, since the task provably never ran
        assertThat(notifications)
                .last()
                .returns(RequestResult.REJECTED, ResultNotification::result);
    }

    @Test
    void neverSendsOfferOfEarlierConnectionToNodeThatReconnectedMeanwhile() throws Exception {
        submitAndAdvance(UNSAFE);
        core.connectionClosed(1);
        registerNode(2);
        String earlierAttempt = ((JournalRecord.Offered) records.get(0)).attempt();
        acknowledgeRecords();
        advance(500 * MILLISECOND);
        acknowledgeRecords();
        assertThat(offeredAttempts).doesNotContain(earlierAttempt);
    }

    @Test
    void rejectsUnsafeRequestsWithReasonButPlacesSafeOnesWhileJournalFails() throws Exception {
        submitAndAdvance(UNSAFE);
        writeFailure = "the journal cannot be written: No space left on device";
        completeRecords(writeFailure);
        advance(3 * SECOND);
        assertThat(offeredAttempts).isEmpty();
        assertThat(notifications)
                .last()
                .returns(RequestResult.REJECTED, ResultNotification::result);
        submit("u", UNSAFE);
        assertThat(notifications)
                .last()
                .returns("u", ResultNotification::task)
                .returns(writeFailure, ResultNotification::reason);
        submit("v", SAFE);
        advance(500 * MILLISECOND);
        assertThat(offeredAttempts).hasSize(1);
        writeFailure = "";
        advance(200 * MILLISECOND);
        submit("w", UNSAFE);
        advance(500 * MILLISECOND);
        acknowledgeRecords();
        assertThat(offeredAttempts).hasSize(2);
    }

    // ---- what the placer sends ----

    @Override
    public boolean offer(String machine, String attempt, RequestTracker.OfferDetails details) {
        offeredAttempts.add(attempt);
        return true;
    }

    @Override
    public void cancelAttempt(String machine, String attempt) {
        cancelledAttempts.add(attempt);
    }

    @Override
    public boolean checkHealth(String machine, long number) {
        return true;
    }

    @Override
    public void notifyDrain(String machine, boolean draining) {
        // not checked here
    }

    @Override
    public void welcome(String machine, long retentionMicros) {
        // not checked here
    }

    @Override
    public void notifyResult(ResultNotification notification) {
        notifications.add(notification);
    }

    @Override
    public void closeConnection(long connection, String reason) {
        throw new AssertionError(reason);
    }

    @Override
    public void reasonChanged(PendingReasons.ReasonChanged changed) {
        // no client subscribes to reasons in this test
    }
}
