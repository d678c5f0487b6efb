package thornferry.placer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.admission.AdmissionQueue;
import thornferry.decisions.admission.AdmissionSettings;
import thornferry.decisions.admission.QueuedRequest;
import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.attempts.AttemptTracker;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.membership.ClusterView;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.recovery.MachineInventory;
import thornferry.decisions.recovery.Recovery;
import thornferry.decisions.recovery.RetainedAttempt;
import thornferry.decisions.requests.InvalidRequestException;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.ResultNotification;
import thornferry.decisions.requests.TaskSpec;
import thornferry.state.Journal;

/**
 * The decision modules of one placer, wired to each other: what one of them decides is an event of
 * the next. It knows neither frames nor sockets and decides nothing; docs/design/placer.md and
 * waiting.md say what means what. Everything runs on one event loop.
 */
final class PlacerCore {
    /** What leads out of the modules. */
    interface Output {
        /**
         * Sends an offer; false where nothing was written. A write that fails later is told by
         * {@link #notWritten}.
         */
        boolean offer(String machine, String attempt, RequestTracker.OfferDetails of);

        void cancelAttempt(String machine, String attempt);

        /** Sends a probe; false where nothing was written. */
        boolean checkHealth(String machine, long number);

        void notifyDrain(String machine, boolean on);

        /** A machine is admitted: it is to remember so long what it ran for this placer. */
        void welcome(String machine, long remember);

        void notifyResult(ResultNotification news);

        void closeConnection(long link, String why);

        /** A task's reason or state is another now. */
        void reasonChanged(PendingReasons.ReasonChanged changed);
    }

    /** An attempt that a machine says it holds. */
    record HeldAttempt(String attempt, String owner, TaskSpec spec, boolean running) {}

    /** What a machine says of an attempt; {@code report} may be null. */
    record AttemptReport(
            String attempt,
            AttemptStatus status,
            RejectionReason rejectionReason,
            boolean ran,
            LoadReport report) {}

    private record PendingHealthCheck(long number, long sentAt) {}

    private static final Logger LOG = LoggerFactory.getLogger(PlacerCore.class);
    private static final int SLOW_TICK = 5; // membership is looked after every so many ticks
    private static final long PROBE_GIVEN_UP = 2_000_000;
    private static final int HISTORY = 32;

    private final String name;
    private final EventLoop loop;
    private final Clock clock;
    private final Output out;
    private final PolicyExecutor module;
    private final Membership membership;
    private final AttemptTracker attempts;
    private final RequestTracker intake;
    private final Recovery recovery;
    private final Journal journal;
    private final Set<String> unwritten =
            new HashSet<>(); // attempts whose promise is not durable yet: nothing was sent
    private final Map<String, List<ResultNotification>> untold =
            new HashMap<>(); // by owner and task, until it is durable
    private final ClusterView fleet;
    private final AdmissionQueue line;
    private final PendingReasons reasons;
    private final Function<String, String> tenants;
    private final Map<String, Placement.Idempotency> effects = new HashMap<>();
    private final Map<String, Double> worths = new HashMap<>();
    private final Map<String, Placement.PlacementRequest> asks =
            new HashMap<>(); // by request, until it is placed or answered
    private final Map<String, PendingHealthCheck> probing = new LinkedHashMap<>();
    private final Map<String, HeldAttempt> adoptable = new HashMap<>(); // during one registration
    private List<AttemptReport> recent = List.of(); // likewise
    private List<RetainedAttempt> recalled = List.of(); // likewise
    private Map<Placement.Idempotency, Long> remembersSince = Map.of(); // likewise
    private RejectionReason saying = RejectionReason.NONE; // during one answer
    private long probeNumber;
    private long resultCount;
    private long offerCount;
    private int ticks;

    /**
     * What former lives left.
     *
     * @param journal where this life writes
     * @param records what stood in it
     * @param complete whether all that former lives offered stands in it
     */
    record RecoveredState(Journal journal, List<JournalRecord> records, boolean complete) {
        static final RecoveredState NOTHING = new RecoveredState(Journal.NONE, List.of(), false);
    }

    /**
     * @param tenants gives an owner's tenant, empty for none
     */
    PlacerCore(
            Site site,
            int number,
            String name,
            EventLoop loop,
            Clock clock,
            Function<Placement.Settings, Placement> maker,
            Function<String, String> tenants,
            RecoveredState kept,
            Output out) {
        this.name = name;
        this.loop = loop;
        this.clock = clock;
        this.out = out;
        this.tenants = tenants;
        Placement.Settings settings = site.placementOf(number);
        long now = clock.now();
        settings.classes().forEach(c -> effects.put(c.name(), c.idempotency()));
        settings.classes().forEach(c -> worths.put(c.name(), c.priorityWeight()));
        module =
                new PolicyExecutor(
                        maker.apply(settings),
                        loop,
                        clock,
                        this::act,
                        this::moduleFailed,
                        LOG,
                        name);
        membership = new Membership(site.membershipLimits(), settings.machineKinds());
        attempts = new AttemptTracker(name + "." + Long.toString(now, 36));
        intake =
                new RequestTracker(
                        kept.complete()
                                ? site.requestLimits().withoutSettling()
                                : site.requestLimits(),
                        settings.classes(),
                        settings.seed(),
                        now);
        recovery =
                new Recovery(
                        new Recovery.Limits(
                                site.requestLimits().retentionMicros(),
                                site.requestLimits().maxWaitMicros(),
                                site.membershipLimits().goneAfterMicros(),
                                site.requestLimits().maxRetained(),
                                kept.complete()));
        journal = kept.journal();
        fleet = new ClusterView(settings.machineKinds());
        line = new AdmissionQueue(site.admission(), fleet, settings.seed());
        Map<String, String> needs = new HashMap<>();
        settings.classes().stream()
                .filter(c -> c.requiredKind() >= 0)
                .forEach(
                        c ->
                                needs.put(
                                        c.name(),
                                        settings.machineKinds().get(c.requiredKind()).name()));
        reasons =
                new PendingReasons(
                        new PendingReasons.Limits(
                                site.admission().enabled(),
                                site.requestLimits().maxRetained(),
                                HISTORY,
                                site.requestLimits().retentionMicros()),
                        fleet,
                        line,
                        needs,
                        membership::connectionOf);
        kept.records().forEach(recovery::apply);
        recovery.begin(now, this::carryOut);
        intake.setUnavailable(journal.writeFailure());
        loop.execute(
                () ->
                        module.accept(
                                new Placement.MachineListUpdated(
                                        0, Placement.ListUpdateKind.FULL, List.of())));
    }

    /** What still counts of what was promised: the beginning of a journal. */
    List<JournalRecord> recordsToKeep() {
        return recovery.snapshot();
    }

    // ---- to be read; on the event loop ----
    Membership membership() {
        return membership;
    }

    PendingReasons reasons() {
        return reasons;
    }

    AdmissionQueue line() {
        return line;
    }

    int attemptsAt(String machine) {
        return attempts.count(machine);
    }

    Placer.Totals totals(long askCount) {
        return new Placer.Totals(
                askCount,
                resultCount,
                offerCount,
                module.failures(),
                intake.pendingCount(),
                attempts.size());
    }

    // ---- time ----
    void tick() {
        long now = clock.now();
        attempts.tick(now, this::carryOut);
        intake.tick(now, this::carryOut);
        line.tick(now, this::carryOut);
        reasons.tick(now, out::reasonChanged);
        if (++ticks % SLOW_TICK == 0) {
            membership.tick(now, this::carryOut);
            recovery.tick(now, this::carryOut);
            journal.compact(recovery::snapshot);
            intake.setUnavailable(journal.writeFailure());
            probing.entrySet()
                    .removeIf(
                            e -> {
                                boolean late = e.getValue().sentAt() < now - PROBE_GIVEN_UP;
                                if (late) {
                                    module.accept(
                                            new Placement.HealthCheckCompleted(
                                                    e.getKey(),
                                                    false,
                                                    now - e.getValue().sentAt(),
                                                    null));
                                }
                                return late;
                            });
        }
    }

    void reload(AdmissionSettings settings) {
        line.reload(clock.now(), settings, this::carryOut);
    }

    // ---- owners and operators ----
    void submit(String owner, TaskSpec wish) throws InvalidRequestException {
        intake.submit(
                clock.now(),
                owner,
                tenants.apply(owner),
                wish,
                recovery.uncertaintyOf(owner, wish.id()),
                this::carryOut);
    }

    void stop(String owner, String task) throws InvalidRequestException {
        intake.stop(clock.now(), owner, task, this::carryOut);
    }

    List<ResultNotification> undelivered(String owner) {
        // what waits for its promise is told when that is durable
        return intake.undelivered(owner).stream()
                .filter(n -> !untold.containsKey(owner + "/" + n.task()))
                .toList();
    }

    void delivered(String owner, long number) {
        intake.delivered(owner, number);
    }

    /** Starts or ends a drain; false where there is no such machine. */
    boolean drain(String machine, boolean on) {
        return membership.drain(clock.now(), machine, on, this::carryOut);
    }

    // ---- machines ----
    /**
     * A machine registers.
     *
     * @param lately its last final answers
     * @param remembers what of those it says of attempts that must not run twice
     * @param since see {@link MachineInventory}
     */
    void registered(
            long link,
            Membership.Registration registration,
            List<HeldAttempt> held,
            List<AttemptReport> lately,
            List<RetainedAttempt> remembers,
            Map<Placement.Idempotency, Long> since) {
        adoptable.clear();
        held.forEach(h -> adoptable.put(h.attempt(), h));
        recent = lately;
        recalled = remembers;
        remembersSince = since;
        membership.registered(clock.now(), link, registration, this::carryOut);
        recent = List.of();
        recalled = List.of();
        adoptable.clear();
    }

    void connectionClosed(long link) {
        String machine = membership.machineOf(link);
        if (machine != null) {
            long now = clock.now();
            membership.connectionClosed(now, link, this::carryOut);
            attempts.connectionLost(now, machine, this::carryOut);
            probeOver(machine);
        }
    }

    void attemptReported(String machine, AttemptReport s) {
        if (s.report() != null) {
            fleet.loadReported(machine, s.report().freeCores(), s.report().freeMemory());
        }
        saying = s.rejectionReason();
        attempts.reported(
                clock.now(),
                machine,
                s.attempt(),
                s.status(),
                reason(s.rejectionReason()),
                s.ran(),
                s.report(),
                this::carryOut);
        saying = RejectionReason.NONE;
    }

    private static Placement.OutcomeReason reason(RejectionReason why) {
        return switch (why) {
            case INSUFFICIENT_CORES -> Placement.OutcomeReason.INSUFFICIENT_CORES;
            case INSUFFICIENT_MEMORY -> Placement.OutcomeReason.INSUFFICIENT_MEMORY;
            case QUEUE_FULL -> Placement.OutcomeReason.QUEUE_FULL;
            case KEY_HELD, DRAINING, UNAVAILABLE -> Placement.OutcomeReason.UNAVAILABLE;
            case NONE -> Placement.OutcomeReason.NONE;
        };
    }

    void usageReported(String machine, String attempt, double cores, double memory) {
        attempts.usageReported(machine, attempt, cores, memory, this::carryOut);
    }

    void notWritten(String attempt) {
        attempts.notWritten(clock.now(), attempt, this::carryOut);
    }

    void healthCheckAnswered(String machine, long number, LoadReport report) {
        PendingHealthCheck asked = probing.get(machine);
        if (asked != null && asked.number() == number) {
            probing.remove(machine);
            fleet.loadReported(machine, report.freeCores(), report.freeMemory());
            module.accept(
                    new Placement.HealthCheckCompleted(
                            machine, true, clock.now() - asked.sentAt(), report));
        }
    }

    private void probeOver(String machine) {
        PendingHealthCheck asked = probing.remove(machine);
        if (asked != null) {
            module.accept(
                    new Placement.HealthCheckCompleted(
                            machine, false, clock.now() - asked.sentAt(), null));
        }
    }

    // ---- the placement module's actions ----
    private void act(Placement.Action action) {
        if (action instanceof Placement.Offer offer) {
            offer(offer);
        } else if (action instanceof Placement.Pending held) {
            reasons.pending(held);
        } else if (action instanceof Placement.Reject refuse) {
            refuse(refuse);
        } else if (action instanceof Placement.Fail fail) {
            intake.failed(
                    clock.now(),
                    fail.requestId(),
                    "an earlier attempt may have run",
                    this::carryOut);
        } else if (action instanceof Placement.CheckHealth probe) {
            probe(probe.machine());
        } else if (action instanceof Placement.Migrate move) {
            attempts.cancel(move.requestId(), TerminationCause.MIGRATED, this::carryOut);
        } else if (action instanceof Placement.Cancel cancel) {
            attempts.cancel(cancel.requestId(), TerminationCause.STOPPED, this::carryOut);
        } else if (action instanceof Placement.Log text) {
            LOG.atInfo().addKeyValue("instance", name).log(text.message());
        }
        // Subscribe and FetchList: membership tells every change without being asked
    }

    private void refuse(Placement.Reject refuse) {
        long now = clock.now();
        PendingReasons.Reason reason = reasons.reasonOf(now, refuse.requestId());
        boolean holds =
                reason != null
                        && reason.kind() != PendingReasons.Kind.QUEUED
                        && reason.kind() != PendingReasons.Kind.AWAITING_RESPONSE;
        String why = holds ? reason.sentence() : "";
        long after =
                Math.max(refuse.retryAfterMicros(), line.overloaded() ? line.retryAfter(now) : 0);
        intake.rejected(now, refuse.requestId(), after, why, this::carryOut);
    }

    private void offer(Placement.Offer offer) {
        RequestTracker.OfferDetails of = intake.nextOffer(offer.requestId());
        if (of == null) {
            LOG.atError()
                    .addKeyValue("instance", name)
                    .addKeyValue("task", offer.requestId())
                    .log("the module offered a task that is not in hand; nothing was sent");
            return;
        }
        offerCount++;
        long now = clock.now();
        String machine = offer.machine();
        String attempt =
                attempts.begin(
                        now,
                        offer.requestId(),
                        of.attempt(),
                        machine,
                        membership.incarnation(machine),
                        of.idempotency(),
                        offer.timeoutMicros());
        line.attemptStarted(now, offer.requestId(), machine, of.attempt() > 0);
        reasons.attemptStarted(offer.requestId(), machine);
        LOG.atDebug()
                .addKeyValue("instance", name)
                .addKeyValue("task", of.spec().id())
                .addKeyValue("node", machine)
                .addKeyValue("attempt", attempt)
                .log("offered, attempt {} of this ask", of.attempt());
        if (of.idempotency() == Placement.Idempotency.IDEMPOTENT) {
            send(machine, attempt, of);
            return;
        }
        unwritten.add(attempt);
        promise(
                new JournalRecord.Offered(
                        now,
                        attempt,
                        of.owner(),
                        tenants.apply(of.owner()),
                        of.spec(),
                        of.idempotency(),
                        machine,
                        membership.incarnation(machine)),
                wrong -> durable(machine, attempt, of, wrong));
    }

    private void send(String machine, String attempt, RequestTracker.OfferDetails of) {
        if (!out.offer(machine, attempt, of)) {
            attempts.notWritten(clock.now(), attempt, this::carryOut);
        }
    }

    /** An offer's promise is as durable as configured: only now may its first octet leave. */
    private void durable(
            String machine, String attempt, RequestTracker.OfferDetails of, String wrong) {
        if (!unwritten.remove(attempt)) {
            return; // given up meanwhile
        }
        // guards against what changed while the disk was slow: a machine that drains now must get
        // nothing new
        if (wrong == null && attempts.isOpen(attempt) && membership.ready(machine)) {
            send(machine, attempt, of);
        } else {
            intake.setUnavailable(journal.writeFailure());
            attempts.notWritten(clock.now(), attempt, this::carryOut);
        }
    }

    /** Writes a promise; {@code then} runs on the loop, with null or what is wrong. */
    private void promise(JournalRecord promise, Consumer<String> then) {
        if (journal != Journal.NONE) {
            recovery.apply(promise); // else nobody would ever read it
        }
        journal.append(
                promise,
                wrong -> {
                    if (loop.inEventLoop()) {
                        then.accept(wrong);
                    } else {
                        loop.execute(() -> then.accept(wrong));
                    }
                });
    }

    /** The same, and what is told of the task from now on waits for it. */
    private void promiseBeforeTelling(String owner, String task, JournalRecord promise) {
        String key = owner + "/" + task;
        untold.putIfAbsent(key, new ArrayList<>());
        promise(
                promise,
                wrong -> {
                    List<ResultNotification> waited = untold.remove(key);
                    if (waited != null) {
                        waited.forEach(
                                out::notifyResult); // also where it could not be written: a result
                        // there must be
                    }
                });
    }

    private void probe(String machine) {
        long number = ++probeNumber;
        probing.put(machine, new PendingHealthCheck(number, clock.now()));
        if (!out.checkHealth(machine, number)) {
            loop.execute(
                    () -> probeOver(machine)); // told later, not from within the module's own call
        }
    }

    private void moduleFailed(String request) {
        long now = clock.now();
        intake.failed(now, request, "internal error", this::carryOut);
        attempts.cancel(request, TerminationCause.STOPPED, this::carryOut);
        module.accept(new Placement.ClientDisconnected(request));
    }

    // ---- actions of the other decision modules ----
    private void carryOut(AdmissionQueue.Action action) {
        if (action instanceof AdmissionQueue.Dispatch release) {
            Placement.PlacementRequest a = asks.get(release.requestId());
            reasons.stageChanged(release.requestId());
            if (a != null) {
                module.accept(
                        new Placement.PlacementRequested(
                                new Placement.PlacementRequest(
                                        a.id(),
                                        a.taskClass(),
                                        a.tenant(),
                                        a.task(),
                                        release.maxWaitMicros(),
                                        a.expectedRunMicros(),
                                        a.service(),
                                        a.cores(),
                                        a.memory(),
                                        a.retry())));
            }
        } else if (action instanceof AdmissionQueue.Recall back) {
            reasons.stageChanged(back.requestId());
            module.accept(new Placement.ClientDisconnected(back.requestId()));
        } else if (action instanceof AdmissionQueue.Shed turn) {
            intake.shed(
                    clock.now(),
                    turn.requestId(),
                    turn.reason(),
                    turn.retryAfterMicros(),
                    this::carryOut);
        }
    }

    private void carryOut(AttemptTracker.Action action) {
        long now = clock.now();
        if (action instanceof AttemptTracker.NotifyPolicy tell) {
            tell(now, tell.event());
        } else if (action instanceof AttemptTracker.NeverRan never) {
            RequestTracker.OfferDetails of = intake.of(never.requestId());
            if (of != null) {
                promise(
                        new JournalRecord.NeverRan(
                                now, of.owner(), of.spec().id(), never.attempt()),
                        wrong -> {});
            }
        } else if (action instanceof AttemptTracker.CancelAttempt w) {
            if (unwritten.remove(w.attempt())) {
                // guards against an offer that leaves after its own withdrawal, and runs with
                // nobody to look after it
                attempts.notWritten(now, w.attempt(), this::carryOut);
            } else {
                out.cancelAttempt(w.machine(), w.attempt());
            }
        } else if (action instanceof AttemptTracker.RequestPlaced placed) {
            intake.placed(now, placed.requestId(), placed.machine(), this::carryOut);
        } else if (action instanceof AttemptTracker.TaskTerminated over) {
            intake.finished(
                    now, over.requestId(), over.machine(), over.terminationCause(), this::carryOut);
        } else if (action instanceof AttemptTracker.OfferRejected turned) {
            intake.offerRejected(turned.requestId(), turned.machine(), turned.reason());
            fleet.rejected(turned.machine(), saying);
            reasons.offerRejected(turned.requestId(), turned.machine(), saying);
        } else if (action instanceof AttemptTracker.AdoptTask adopt) {
            adopt(adopt);
        } else if (action instanceof AttemptTracker.ProtocolViolation guilty) {
            out.closeConnection(membership.connectionOf(guilty.machine()), guilty.description());
        }
    }

    /** To the module, after those that must know before it offers the task elsewhere. */
    private void tell(long now, Placement.Event event) {
        if (event instanceof Placement.AttemptEnded e) {
            if (e.outcome() == Placement.AttemptOutcome.TIMED_OUT
                    || e.outcome() == Placement.AttemptOutcome.UNREACHABLE
                    || e.outcome() == Placement.AttemptOutcome.LOST
                            && e.reason() == Placement.OutcomeReason.NONE) {
                fleet.unresponsive(e.machine());
            }
            line.attemptEnded(now, e.requestId());
            reasons.attemptEnded(e.requestId(), e.machine(), e.outcome());
        } else if (event instanceof Placement.AttemptAccepted e) {
            fleet.accepted(e.machine());
        }
        module.accept(event);
    }

    private void adopt(AttemptTracker.AdoptTask a) {
        HeldAttempt held = adoptable.get(a.attempt());
        TaskSpec wish = held.spec();
        String tenant = tenants.apply(held.owner());
        Placement.PlacementRequest ask =
                intake.adopt(clock.now(), held.owner(), tenant, wish, a.machine(), this::carryOut);
        if (ask == null) {
            carryOut(new AttemptTracker.CancelAttempt(a.machine(), a.attempt()));
            return;
        }
        attempts.adopted(
                clock.now(),
                a.attempt(),
                ask.id(),
                a.machine(),
                membership.incarnation(a.machine()),
                effects.getOrDefault(ask.taskClass(), Placement.Idempotency.NON_IDEMPOTENT),
                held.running());
        line.adopted(clock.now(), item(ask, held.owner(), 0, ""));
        module.accept(new Placement.TaskAdopted(ask, a.machine()));
        LOG.atInfo()
                .addKeyValue("instance", name)
                .addKeyValue("node", a.machine())
                .addKeyValue("task", wish.id())
                .log("taken over from a former life of this placer");
    }

    private QueuedRequest item(
            Placement.PlacementRequest ask, String owner, long deadline, String turnedBy) {
        return new QueuedRequest(
                ask.id(),
                owner,
                ask.tenant(),
                ask.taskClass(),
                worths.getOrDefault(ask.taskClass(), 0.0),
                ask.cores(),
                ask.memory(),
                deadline,
                ask.expectedRunMicros(),
                ask.retry(),
                turnedBy);
    }

    private void carryOut(RequestTracker.Action action) {
        long now = clock.now();
        if (action instanceof RequestTracker.RequestWaiting w) {
            reasons.submitted(
                    now,
                    w.owner(),
                    w.tenant(),
                    w.spec().id(),
                    w.spec().idempotencyKey(),
                    w.keyed(),
                    w.settling(),
                    w.uncertain() ? recovery.machineAwaited(w.owner(), w.spec().id()) : "");
        } else if (action instanceof RequestTracker.Dispatch hand) {
            QueuedRequest item =
                    item(hand.request(), hand.owner(), hand.deadlineMicros(), hand.rejectedBy());
            asks.put(hand.request().id(), hand.request());
            reasons.queued(hand.spec().id(), item);
            line.arrived(now, item, this::carryOut);
        } else if (action instanceof RequestTracker.RequestCompleted a) {
            if (a.requestId() != null) {
                asks.remove(a.requestId());
            }
            if (a.idempotency() != Placement.Idempotency.IDEMPOTENT
                    && a.result() != RequestResult.REJECTED) {
                promiseBeforeTelling(
                        a.owner(),
                        a.spec().id(),
                        new JournalRecord.Completed(
                                now,
                                a.owner(),
                                a.tenant(),
                                a.spec(),
                                a.idempotency(),
                                a.result(),
                                a.machine(),
                                a.reason()));
            }
            reasons.completed(now, a.owner(), a.spec().id(), state(a.result()), a.machine());
            if (a.requestId() == null) {
                return;
            }
            if (a.result() == RequestResult.PLACED) {
                line.placed(now, a.requestId(), this::carryOut);
            } else {
                line.finished(now, a.requestId(), this::carryOut);
            }
        } else if (action instanceof RequestTracker.TaskFinished f) {
            if (f.idempotency() != Placement.Idempotency.IDEMPOTENT) {
                promiseBeforeTelling(
                        f.owner(),
                        f.task(),
                        new JournalRecord.Finished(now, f.owner(), f.task(), f.terminationCause()));
            }
            reasons.finished(now, f.owner(), f.task());
            if (f.requestId() != null) {
                line.finished(now, f.requestId(), this::carryOut);
            }
        } else if (action instanceof RequestTracker.Notify d) {
            if (d.notification().result() != null && !d.notification().repeated()) {
                resultCount++;
            }
            LOG.atDebug()
                    .addKeyValue("instance", name)
                    .addKeyValue("task", d.notification().task())
                    .addKeyValue("node", d.notification().machine())
                    .log(
                            "{}",
                            d.notification().result() == null
                                    ? d.notification().terminationCause()
                                    : d.notification().result());
            List<ResultNotification> waiting =
                    untold.get(d.notification().owner() + "/" + d.notification().task());
            if (waiting != null) {
                waiting.add(d.notification());
            } else {
                out.notifyResult(d.notification());
            }
        } else if (action instanceof RequestTracker.Abandon abandon) {
            asks.remove(abandon.requestId());
            attempts.cancel(abandon.requestId(), abandon.terminationCause(), this::carryOut);
            module.accept(new Placement.ClientDisconnected(abandon.requestId()));
            if (line.status(now, abandon.requestId()).stage() != AdmissionQueue.Stage.PLACED) {
                line.finished(now, abandon.requestId(), this::carryOut);
            }
        }
    }

    private void carryOut(Recovery.Action action) {
        long now = clock.now();
        if (action instanceof Recovery.Restored r) {
            intake.restore(
                    now,
                    r.owner(),
                    r.tenant(),
                    r.spec(),
                    r.result(),
                    r.machine(),
                    r.reason(),
                    r.terminationCause());
        } else if (action instanceof Recovery.FinishedEarlier r) {
            LOG.atInfo()
                    .addKeyValue("instance", name)
                    .addKeyValue("node", r.machine())
                    .addKeyValue("task", r.spec().id())
                    .log("placed by a former life of this placer: {}", r.terminationCause());
            intake.finishedEarlier(
                    now,
                    r.owner(),
                    tenants.apply(r.owner()),
                    r.spec(),
                    r.machine(),
                    r.terminationCause(),
                    r.alreadyNotified(),
                    this::carryOut);
        } else if (action instanceof Recovery.Failed f) {
            intake.mayHaveRun(
                    now, f.owner(), tenants.apply(f.owner()), f.spec(), f.reason(), this::carryOut);
        } else if (action instanceof Recovery.ProvenNotRun p) {
            intake.provenNotRun(now, p.owner(), p.task(), this::carryOut);
        } else if (action instanceof Recovery.BecameIndeterminate u) {
            LOG.atWarn()
                    .addKeyValue("instance", name)
                    .addKeyValue("node", u.machine())
                    .addKeyValue("task", u.task())
                    .log(
                            "offered by a former life of this placer; whether it ran cannot be"
                                    + " proven any more");
            intake.becameIndeterminate(now, u.owner(), u.task(), u.machine(), this::carryOut);
        }
    }

    private static PendingReasons.State state(RequestResult result) {
        return switch (result) {
            case PLACED -> PendingReasons.State.PLACED;
            case REJECTED -> PendingReasons.State.REJECTED;
            case FAILED -> PendingReasons.State.FAILED;
        };
    }

    private void carryOut(Membership.Action action) {
        long now = clock.now();
        if (action instanceof Membership.MachinesChanged changed) {
            fleet.update(changed.entries());
            module.accept(
                    new Placement.MachineListUpdated(
                            0, Placement.ListUpdateKind.DELTA, changed.entries()));
        } else if (action instanceof Membership.CloseConnection close) {
            out.closeConnection(close.connection(), close.reason());
        } else if (action instanceof Membership.IncarnationEnded life) {
            LOG.atWarn()
                    .addKeyValue("instance", name)
                    .addKeyValue("node", life.machine())
                    .log("incarnation {} is over: {}", life.incarnation(), life.reason());
            attempts.incarnationEnded(now, life.machine(), life.incarnation(), this::carryOut);
        } else if (action instanceof Membership.MachineForgotten gone) {
            fleet.remove(gone.machine());
        } else if (action instanceof Membership.MachineAdmitted admitted) {
            recent.forEach(each -> attemptReported(admitted.machine(), each));
            Set<String> running = new HashSet<>();
            adoptable.forEach(
                    (id, held) -> {
                        if (held.running()) {
                            running.add(id);
                        }
                    });
            Set<String> held = new LinkedHashSet<>(adoptable.keySet());
            attempts.inventory(
                    now,
                    admitted.machine(),
                    admitted.incarnation(),
                    held,
                    running,
                    remembersSince,
                    this::carryOut);
            recovery.machineRegistered(
                    now,
                    new MachineInventory(
                            admitted.machine(),
                            admitted.incarnation(),
                            held,
                            recalled,
                            remembersSince),
                    attempts::isOwn,
                    this::carryOut);
            out.welcome(admitted.machine(), recovery.limits().machineRetentionMicros());
        } else if (action instanceof Membership.NotifyDrain drain) {
            out.notifyDrain(drain.machine(), drain.draining());
        }
    }
}
