package thornferry.placer;

import io.netty.handler.codec.stomp.StompCommand;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleConsumer;
import thornferry.decisions.admission.AdmissionQueue;
import thornferry.decisions.admission.Quota;
import thornferry.decisions.admission.QuotaUsage;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.recovery.MachineInventory;
import thornferry.decisions.recovery.RetainedAttempt;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.ResultNotification;
import thornferry.decisions.requests.TaskSpec;
import thornferry.protocol.Bodies;
import thornferry.protocol.Frame;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Drain;
import thornferry.protocol.v1.Held;
import thornferry.protocol.v1.Limits;
import thornferry.protocol.v1.Load;
import thornferry.protocol.v1.NodeView;
import thornferry.protocol.v1.Nodes;
import thornferry.protocol.v1.Offer;
import thornferry.protocol.v1.Order;
import thornferry.protocol.v1.Probe;
import thornferry.protocol.v1.Reason;
import thornferry.protocol.v1.Register;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;
import thornferry.protocol.v1.WaitingTable;
import thornferry.protocol.v1.Welcome;
import thornferry.protocol.v1.Why;
import thornferry.protocol.v1.Withdraw;

/**
 * Maps the messages of the protocol to and from the types of the decision modules. Enumerated
 * values are mapped by {@link WireNames}. Times on the wire are in milliseconds.
 */
final class ProtocolMapper {
    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * The maximum duration; longer ones are clamped, so that adding one to a time cannot overflow.
     */
    private static final long MAX_DURATION_MICROS = Long.MAX_VALUE / 2;

    private ProtocolMapper() {}

    // ---- tasks and results, of clients ----

    static TaskSpec taskSpec(Task task) {
        Long maxWaitMicros =
                task.hasPatienceMs() ? Long.valueOf(toMicros(task.getPatienceMs())) : null;
        return new TaskSpec(
                task.getId(),
                task.getTaskClass(),
                task.getService(),
                task.getKey(),
                task.getCores(),
                task.getMemory(),
                maxWaitMicros,
                toMicros(task.getRunsForMs()));
    }

    /** Returns the task as a machine receives it, which is without the maximum wait time. */
    private static Task task(TaskSpec spec) {
        return Task.newBuilder()
                .setId(spec.id())
                .setTaskClass(spec.taskClass())
                .setService(spec.service())
                .setKey(spec.idempotencyKey())
                .setCores(spec.cores())
                .setMemory(spec.memory())
                .setRunsForMs(spec.expectedRunMicros() / MICROS_PER_MILLI)
                .build();
    }

    /**
     * Returns the frame that notifies a client. The headers repeat the body for clients that do not
     * parse JSON.
     */
    static Frame resultFrame(ResultNotification notification) {
        String result =
                notification.result() == null ? null : WireNames.result(notification.result());
        String event =
                notification.terminationCause() == null
                        ? null
                        : WireNames.event(notification.terminationCause());
        long retryAfterMillis =
                (notification.retryAfterMicros() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
        TaskNews.Builder body =
                TaskNews.newBuilder()
                        .setTask(notification.task())
                        .setNode(notification.machine())
                        .setReason(notification.reason())
                        .setRetryAfterMs(retryAfterMillis);
        if (result != null) {
            body.setResult(result);
        } else {
            body.setEvent(event);
        }
        Frame frame =
                Frame.of(
                        StompCommand.MESSAGE,
                        "task",
                        notification.task(),
                        "result",
                        result,
                        "event",
                        event,
                        "node",
                        nullIfEmpty(notification.machine()),
                        "reason",
                        nullIfEmpty(notification.reason()),
                        "retry-after-ms",
                        retryAfterMillis > 0 ? Long.toString(retryAfterMillis) : null,
                        "repeat",
                        notification.repeated() ? "true" : null);
        return Bodies.write(frame, body.build(), false);
    }

    private static String nullIfEmpty(String text) {
        return text.isEmpty() ? null : text;
    }

    // ---- pending reasons and limits, of clients and operators ----

    static Reason reason(PendingReasons.Reason reason) {
        Reason.Builder builder =
                Reason.newBuilder()
                        .setKind(WireNames.kind(reason.kind()))
                        .setSinceMs(reason.sinceMicros() / MICROS_PER_MILLI)
                        .setEnds(reason.endsWhen())
                        .setSentence(reason.sentence());
        for (PendingReasons.Evidence evidence : reason.evidence()) {
            Reason.Evidence.Builder evidenceBuilder =
                    builder.addEvidenceBuilder()
                            .setWhat(evidence.description())
                            .setName(evidence.name())
                            .setNodes(evidence.machines());
            if (!Double.isNaN(evidence.needed())) {
                evidenceBuilder.setNeeds(evidence.needed());
            }
            if (!Double.isNaN(evidence.available())) {
                evidenceBuilder.setHas(evidence.available());
            }
        }
        return builder.build();
    }

    /**
     * Returns the explanation of the state of a task.
     *
     * @param withHistory whether earlier states and reasons are included
     */
    static Why why(PendingReasons.Explanation explanation, boolean withHistory) {
        Why.Builder builder =
                Why.newBuilder()
                        .setTask(explanation.task())
                        .setState(WireNames.state(explanation.state()))
                        .setTaskClass(explanation.taskClass())
                        .setWaitingSinceMs(explanation.waitingSinceMicros() / MICROS_PER_MILLI)
                        .setAsks(explanation.submissions())
                        .setAttempts(explanation.attempts());
        if (explanation.state() == PendingReasons.State.WAITING && explanation.reason() != null) {
            builder.setReason(reason(explanation.reason()));
        }
        if (withHistory) {
            for (PendingReasons.Change change : explanation.history()) {
                Why.Change.Builder changeBuilder =
                        builder.addHistoryBuilder()
                                .setAtMs(change.atMicros() / MICROS_PER_MILLI)
                                .setState(WireNames.state(change.state()));
                if (change.reason() != null) {
                    changeBuilder.setReason(reason(change.reason()));
                }
            }
        }
        return builder.build();
    }

    /** Returns the counts of waiting tasks of one owner. */
    static WaitingTable ownWaitingTable(PlacerCore core, String owner) {
        return waitingTable(core.reasons().countWaitingByTenant(owner)).build();
    }

    /**
     * Returns the counts of waiting tasks of all owners, with the state of the overload controller.
     */
    static WaitingTable siteWaitingTable(PlacerCore core) {
        AdmissionQueue.QueueCounts counts = core.admissionQueue().counts();
        return waitingTable(core.reasons().countWaitingByTenant(null))
                .setOverload(counts.overloaded())
                .setShed(counts.shed())
                .build();
    }

    private static WaitingTable.Builder waitingTable(
            Map<String, Map<PendingReasons.Kind, Integer>> tasksByTenantAndKind) {
        WaitingTable.Builder builder = WaitingTable.newBuilder();
        tasksByTenantAndKind.forEach(
                (tenant, tasksByKind) ->
                        tasksByKind.forEach(
                                (kind, tasks) ->
                                        builder.addRowsBuilder()
                                                .setTenant(tenant)
                                                .setKind(WireNames.kind(kind))
                                                .setTasks(tasks)));
        int waiting = builder.getRowsList().stream().mapToInt(WaitingTable.Row::getTasks).sum();
        return builder.setWaiting(waiting);
    }

    /**
     * Returns the quotas that an account may see.
     *
     * @param lastReload the time and the outcome of the last reload of the configuration
     */
    static Limits limits(AdmissionQueue queue, Account account, String lastReload) {
        Limits.Builder builder = Limits.newBuilder();
        builder.addUses(quotaUsage("owner", queue.ownerUsage(account.login())));
        if (account.role() == Account.Role.OPERATOR) {
            queue.tenantUsage().forEach(usage -> builder.addUses(quotaUsage("tenant", usage)));
            builder.addUses(quotaUsage("site", queue.siteUsage())).setLoaded(lastReload);
        }
        return builder.build();
    }

    private static Limits.Use quotaUsage(String scope, QuotaUsage usage) {
        Limits.Use.Builder builder =
                Limits.Use.newBuilder()
                        .setScope(scope)
                        .setName(usage.name())
                        .setWaiting(usage.waiting())
                        .setTasks(usage.tasks())
                        .setCores(usage.cores())
                        .setMemory(usage.memory())
                        .setShare(usage.dominantShare());
        Quota quota = usage.quota();
        setIfLimited(quota.maxWaiting(), builder::setMostWaiting);
        setIfLimited(quota.maxTasks(), builder::setMostTasks);
        setIfLimited(quota.perSecond(), builder::setMostPerSecond);
        setIfLimited(quota.maxCores(), builder::setMostCores);
        setIfLimited(quota.maxMemory(), builder::setMostMemory);
        return builder.build();
    }

    private static void setIfLimited(double limit, DoubleConsumer setter) {
        if (Double.isFinite(limit)) {
            setter.accept(limit);
        }
    }

    // ---- the node list, of operators ----

    static Nodes nodes(PlacerCore core, long nowMicros) {
        Nodes.Builder nodes = Nodes.newBuilder();
        for (Membership.MachineView machine : core.membership().machineViews(nowMicros)) {
            nodes.addNodes(
                    NodeView.newBuilder()
                            .setNode(machine.machine())
                            .setIncarnation(machine.incarnation())
                            .setKind(machine.kind())
                            .setZone(machine.zone())
                            .setState(machine.state())
                            .setCores(machine.cores())
                            .setMemory(machine.memory())
                            .setTasks(core.attemptsAt(machine.machine()))
                            .setNote(machine.note()));
        }
        return nodes.build();
    }

    // ---- what nodes send ----

    static NodeRegistration registration(Register register, long connection, Clock clock)
            throws ProtocolException {
        List<AttemptReport> recentReports = new ArrayList<>();
        List<RetainedAttempt> retainedAttempts = new ArrayList<>();
        for (Answer answer : register.getRecentList()) {
            if (answer.getKind() != Answer.Kind.USES) {
                recentReports.add(attemptReport(answer));
            }
            if (answer.hasTask() && !answer.getOwner().isEmpty()) {
                retainedAttempts.add(retainedAttempt(answer, clock));
            }
        }
        return new NodeRegistration(
                connection,
                machineRegistration(register),
                register.getHeldList().stream().map(ProtocolMapper::heldAttempt).toList(),
                recentReports,
                retainedAttempts,
                completeSince(register, clock));
    }

    private static Membership.Registration machineRegistration(Register register) {
        Load load = register.hasLoad() ? register.getLoad() : idleLoad(register);
        return new Membership.Registration(
                register.getNode(),
                register.getIncarnation(),
                register.getKind(),
                register.getZone(),
                register.getCell(),
                register.getCores(),
                register.getMemory(),
                toMicros(register.getUptimeMs()),
                load.getCoresFree(),
                load.getMemoryFree());
    }

    private static Load idleLoad(Register register) {
        return Load.newBuilder()
                .setCoresFree(register.getCores())
                .setMemoryFree(register.getMemory())
                .build();
    }

    private static HeldAttempt heldAttempt(Held held) {
        return new HeldAttempt(
                held.getAttempt(), held.getOwner(), taskSpec(held.getTask()), held.getRuns());
    }

    private static RetainedAttempt retainedAttempt(Answer answer, Clock clock)
            throws ProtocolException {
        return new RetainedAttempt(
                answer.getAttempt(),
                answer.getOwner(),
                taskSpec(answer.getTask()),
                WireNames.idempotency(answer.getEffect()),
                WireNames.attemptStatus(answer.getKind()),
                answer.getRan(),
                clock.now() - toMicros(Math.max(0, answer.getEndedMsAgo())));
    }

    private static Map<Placement.Idempotency, Long> completeSince(Register register, Clock clock) {
        Map<Placement.Idempotency, Long> since = new EnumMap<>(Placement.Idempotency.class);
        if (register.hasForgotUnsafeMs()) {
            since.put(
                    Placement.Idempotency.NON_IDEMPOTENT,
                    completeSince(register.getForgotUnsafeMs(), clock));
        }
        if (register.hasForgotKeyedMs()) {
            since.put(
                    Placement.Idempotency.IDEMPOTENT_WITH_KEY,
                    completeSince(register.getForgotKeyedMs(), clock));
        }
        return since;
    }

    private static long completeSince(long forgotMillisAgo, Clock clock) {
        return forgotMillisAgo <= 0
                ? MachineInventory.WHOLE_INCARNATION
                : clock.now() - toMicros(forgotMillisAgo);
    }

    /**
     * Returns the report of the status of an attempt.
     *
     * @throws ProtocolException if the answer is not about the status of an attempt
     */
    static AttemptReport attemptReport(Answer answer) throws ProtocolException {
        return new AttemptReport(
                answer.getAttempt(),
                WireNames.attemptStatus(answer.getKind()),
                WireNames.rejectionReason(answer.getReason()),
                answer.getRan(),
                answer.hasLoad() ? loadReport(answer.getLoad()) : null);
    }

    static LoadReport loadReport(Load load) {
        return new LoadReport(
                load.getCoresFree(), load.getMemoryFree(), LoadReport.UNKNOWN, load.getWaiting());
    }

    // ---- what nodes receive ----

    static Order offer(String placer, String attempt, RequestTracker.OfferDetails details) {
        return Order.newBuilder()
                .setOffer(
                        Offer.newBuilder()
                                .setAttempt(attempt)
                                .setTask(task(details.spec()))
                                .setOwner(details.owner())
                                .setPlacer(placer)
                                .setEffect(WireNames.effect(details.idempotency())))
                .build();
    }

    static Order cancellation(String attempt) {
        return Order.newBuilder().setWithdraw(Withdraw.newBuilder().setAttempt(attempt)).build();
    }

    static Order healthCheck(long number) {
        return Order.newBuilder().setProbe(Probe.newBuilder().setNumber(number)).build();
    }

    static Order drain(String machine, boolean draining) {
        return Order.newBuilder()
                .setDrain(Drain.newBuilder().setNode(machine).setOn(draining))
                .build();
    }

    static Order welcome(String placer, long retentionMicros) {
        return Order.newBuilder()
                .setWelcome(
                        Welcome.newBuilder()
                                .setPlacer(placer)
                                .setRememberMs(retentionMicros / MICROS_PER_MILLI))
                .build();
    }

    private static long toMicros(long millis) {
        return millis > MAX_DURATION_MICROS / MICROS_PER_MILLI
                ? MAX_DURATION_MICROS
                : millis * MICROS_PER_MILLI;
    }
}
