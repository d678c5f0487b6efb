package thornferry.placer;

import java.util.function.DoubleConsumer;
import thornferry.decisions.admission.AdmissionQueue;
import thornferry.decisions.admission.Quota;
import thornferry.decisions.admission.QuotaUsage;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.protocol.v1.Limits;
import thornferry.protocol.v1.Reason;
import thornferry.protocol.v1.WaitingTable;
import thornferry.protocol.v1.Why;

/** What the decision modules hold, as messages of the protocol. */
final class ProtocolMapper {
    private ProtocolMapper() {}

    static Reason reason(PendingReasons.Reason r) {
        Reason.Builder b =
                Reason.newBuilder()
                        .setKind(WireWords.kind(r.kind()))
                        .setSinceMs(r.sinceMicros() / 1_000)
                        .setEnds(r.endsWhen())
                        .setSentence(r.sentence());
        for (PendingReasons.Evidence e : r.evidence()) {
            Reason.Evidence.Builder evidence =
                    b.addEvidenceBuilder()
                            .setWhat(e.description())
                            .setName(e.name())
                            .setNodes(e.machines());
            if (!Double.isNaN(e.needed())) {
                evidence.setNeeds(e.needed());
            }
            if (!Double.isNaN(e.available())) {
                evidence.setHas(e.available());
            }
        }
        return b.build();
    }

    static Why why(PendingReasons.Explanation w, boolean history) {
        Why.Builder b =
                Why.newBuilder()
                        .setTask(w.task())
                        .setState(WireWords.state(w.state()))
                        .setTaskClass(w.taskClass())
                        .setWaitingSinceMs(w.waitingSinceMicros() / 1_000)
                        .setAsks(w.submissions())
                        .setAttempts(w.attempts());
        if (w.state() == PendingReasons.State.WAITING && w.reason() != null) {
            b.setReason(reason(w.reason()));
        }
        if (history) {
            for (PendingReasons.Change c : w.history()) {
                Why.Change.Builder change =
                        b.addHistoryBuilder()
                                .setAtMs(c.atMicros() / 1_000)
                                .setState(WireWords.state(c.state()));
                if (c.reason() != null) {
                    change.setReason(reason(c.reason()));
                }
            }
        }
        return b.build();
    }

    /**
     * @param owner whose; null for all, as operators see it
     */
    static WaitingTable table(PlacerCore core, String owner) {
        WaitingTable.Builder b = WaitingTable.newBuilder();
        int[] waiting = {0};
        core.reasons()
                .countByReason(owner)
                .forEach(
                        (tenant, kinds) ->
                                kinds.forEach(
                                        (kind, tasks) -> {
                                            b.addRowsBuilder()
                                                    .setTenant(tenant)
                                                    .setKind(WireWords.kind(kind))
                                                    .setTasks(tasks);
                                            waiting[0] += tasks;
                                        }));
        if (owner == null) {
            AdmissionQueue.QueueCounts c = core.line().counts();
            b.setOverload(c.overloaded()).setShed(c.shed());
        }
        return b.setWaiting(waiting[0]).build();
    }

    static Limits limits(AdmissionQueue line, Account account, String loaded) {
        Limits.Builder b = Limits.newBuilder();
        b.addUses(use("owner", line.ownerUsage(account.login())));
        if (account.role() == Account.Role.OPERATOR) {
            line.tenantUsage().forEach(t -> b.addUses(use("tenant", t)));
            b.addUses(use("site", line.siteUsage())).setLoaded(loaded);
        }
        return b.build();
    }

    private static Limits.Use use(String scope, QuotaUsage u) {
        Quota l = u.quota();
        Limits.Use.Builder b =
                Limits.Use.newBuilder()
                        .setScope(scope)
                        .setName(u.name())
                        .setWaiting(u.waiting())
                        .setTasks(u.tasks())
                        .setCores(u.cores())
                        .setMemory(u.memory())
                        .setShare(u.share());
        most(l.maxWaiting(), b::setMostWaiting);
        most(l.maxTasks(), b::setMostTasks);
        most(l.perSecond(), b::setMostPerSecond);
        most(l.maxCores(), b::setMostCores);
        most(l.maxMemory(), b::setMostMemory);
        return b.build();
    }

    private static void most(double limit, DoubleConsumer set) {
        if (Double.isFinite(limit)) {
            set.accept(limit);
        }
    }
}
