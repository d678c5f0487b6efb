package thornferry.placer;

import java.util.List;
import java.util.function.Function;
import thornferry.decisions.admission.AdmissionQueue;
import thornferry.decisions.admission.AdmissionSettings;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.requests.InvalidRequestException;
import thornferry.decisions.requests.ResultNotification;
import thornferry.decisions.requests.TaskSpec;

/**
 * The decision modules of one placer instance behind one interface: calls come in from clients,
 * operators, nodes and the clock, and effects leave through the {@link PlacerOutput}. The class
 * handles neither frames nor sockets and makes no scheduling decision. Everything runs on one event
 * loop.
 */
final class PlacerCore {
    /** The number of ticks between two runs of membership, recovery, journal and health checks. */
    private static final int TICKS_PER_SLOW_TICK = 5;

    private final PlacerComponents components;
    private int tickCount;

    /**
     * @param policyFactory creates the placement policy
     * @param tenantByOwner maps an owner to its tenant, or to the empty string
     */
    PlacerCore(
            PlacerInstance instance,
            Function<Placement.Settings, Placement> policyFactory,
            Function<String, String> tenantByOwner,
            RecoveredState recovered,
            PlacerOutput output) {
        components =
                new PlacerComponents(instance, policyFactory, tenantByOwner, recovered, output);
        recovered.records().forEach(components.recovery::apply);
        components.recovery.begin(now(), components.recoveryActions);
        updateAvailability();
        instance.loop()
                .execute(
                        () ->
                                components.policy.accept(
                                        new Placement.MachineListUpdated(
                                                0, Placement.ListUpdateKind.FULL, List.of())));
    }

    /** Returns the records that are still needed, with which a new journal begins. */
    List<JournalRecord> recordsToKeep() {
        return components.recovery.snapshot();
    }

    // ---- state of the modules ----

    Membership membership() {
        return components.membership;
    }

    PendingReasons reasons() {
        return components.reasons;
    }

    AdmissionQueue admissionQueue() {
        return components.admissionQueue;
    }

    /** Returns the number of unfinished attempts at a machine. */
    int attemptsAt(String machine) {
        return components.attempts.attemptCountOnMachine(machine);
    }

    /**
     * Returns the counters of the instance.
     *
     * @param requestCount the number of requests received by the server, valid or not
     */
    Placer.Totals totals(long requestCount) {
        return new Placer.Totals(
                requestCount,
                components.requestActions.resultCount(),
                components.policyActions.offerCount(),
                components.policy.failures(),
                components.requests.pendingCount(),
                components.attempts.activeAttemptCount());
    }

    // ---- time and configuration ----

    /** Processes everything that is due. Must be called every few milliseconds. */
    void tick() {
        long now = now();
        components.attempts.tick(now, components.attemptActions);
        components.requests.tick(now, components.requestActions);
        components.admissionQueue.tick(now, components.admissionActions);
        components.reasons.tick(now, components.output::reasonChanged);
        if (++tickCount % TICKS_PER_SLOW_TICK == 0) {
            components.membership.tick(now, components.membershipActions);
            components.recovery.tick(now, components.recoveryActions);
            components.journal.compact();
            updateAvailability();
            components.healthChecks.expire(now);
        }
    }

    /** Applies new limits of the admission queue. */
    void reload(AdmissionSettings settings) {
        components.admissionQueue.reload(now(), settings, components.admissionActions);
    }

    /**
     * Tells the request tracker whether the journal can be written. While it cannot, requests that
     * need it are rejected.
     */
    private void updateAvailability() {
        components.requests.setJournalUnavailable(components.journal.writeFailure());
    }

    // ---- clients and operators ----

    /**
     * Submits the request of a client to have a task placed.
     *
     * @throws InvalidRequestException if the request is invalid, in which case nothing has changed
     */
    void submit(String owner, TaskSpec spec) throws InvalidRequestException {
        components.requests.submit(
                now(),
                owner,
                components.tenantOf(owner),
                spec,
                components.recovery.uncertaintyOf(owner, spec.id()),
                components.requestActions);
    }

    /**
     * Stops a pending or running task of a client.
     *
     * @throws InvalidRequestException if there is no such task
     */
    void stop(String owner, String task) throws InvalidRequestException {
        components.requests.stop(now(), owner, task, components.requestActions);
    }

    /**
     * Returns the notifications that a client has not confirmed. Those that wait for the journal
     * are left out, since they are sent once their record is durable.
     */
    List<ResultNotification> undelivered(String owner) {
        return components.requests.undelivered(owner).stream()
                .filter(
                        notification ->
                                !components.journal.isNotificationPending(
                                        owner, notification.task()))
                .toList();
    }

    /** Marks a notification as confirmed by its client. */
    void delivered(String owner, long sequence) {
        components.requests.delivered(owner, sequence);
    }

    /** Starts or ends the drain of a machine; returns false if there is no such machine. */
    boolean drain(String machine, boolean draining) {
        return components.membership.setDraining(
                now(), machine, draining, components.membershipActions);
    }

    // ---- nodes ----

    /** Processes the registration of a node, which is its first or follows a reconnect. */
    void registered(NodeRegistration registration) {
        components.membershipActions.register(registration);
    }

    /** Processes the end of a connection that either side closed. */
    void connectionClosed(long connection) {
        String machine = components.membership.machineOf(connection);
        if (machine != null) {
            long now = now();
            components.membership.connectionClosed(now, connection, components.membershipActions);
            components.attempts.connectionLost(now, machine, components.attemptActions);
            components.healthChecks.fail(machine);
        }
    }

    /** Processes the report of a node about the status of an attempt. */
    void attemptReported(String machine, AttemptReport report) {
        components.attemptActions.report(machine, report);
    }

    /** Processes the report of a node about the resources that an attempt uses. */
    void usageReported(String machine, String attempt, double cores, double memory) {
        components.attempts.usageReported(
                machine, attempt, cores, memory, components.attemptActions);
    }

    /** Ends an attempt whose offer could not be written; the attempt cannot have run. */
    void notWritten(String attempt) {
        components.attempts.offerNotWritten(now(), attempt, components.attemptActions);
    }

    /** Processes the answer of a node to a health check. */
    void healthCheckAnswered(String machine, long number, LoadReport load) {
        components.healthChecks.answered(machine, number, load);
    }

    private long now() {
        return components.clock().now();
    }
}
