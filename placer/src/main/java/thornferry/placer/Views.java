package thornferry.placer;

import java.util.Locale;
import java.util.function.DoubleConsumer;
import thornferry.decisions.Line;
import thornferry.decisions.LineSettings;
import thornferry.decisions.Reasons;
import thornferry.protocol.v1.Limits;
import thornferry.protocol.v1.Reason;
import thornferry.protocol.v1.WaitingTable;
import thornferry.protocol.v1.Why;

/** What the decision modules hold, as messages of the protocol. */
final class Views {
    private Views() {}

    static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    static Reason reason(Reasons.Reason r) {
        Reason.Builder b =
                Reason.newBuilder()
                        .setKind(Reason.Kind.valueOf(r.kind().name()))
                        .setSinceMs(r.since() / 1_000)
                        .setEnds(r.ends())
                        .setSentence(r.sentence());
        for (Reasons.Evidence e : r.evidence()) {
            Reason.Evidence.Builder evidence =
                    b.addEvidenceBuilder().setWhat(e.what()).setName(e.name()).setNodes(e.nodes());
            if (!Double.isNaN(e.needs())) {
                evidence.setNeeds(e.needs());
            }
            if (!Double.isNaN(e.has())) {
                evidence.setHas(e.has());
            }
        }
        return b.build();
    }

    static Why why(Reasons.Why w, boolean history) {
        Why.Builder b =
                Why.newBuilder()
                        .setTask(w.task())
                        .setState(word(w.state()))
                        .setTaskClass(w.taskClass())
                        .setWaitingSinceMs(w.waitingSince() / 1_000)
                        .setAsks(w.asks())
                        .setAttempts(w.attempts());
        if (w.state() == Reasons.State.WAITING && w.reason() != null) {
            b.setReason(reason(w.reason()));
        }
        if (history) {
            for (Reasons.Change c : w.history()) {
                Why.Change.Builder change =
                        b.addHistoryBuilder().setAtMs(c.at() / 1_000).setState(word(c.state()));
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
    static WaitingTable table(Core core, String owner) {
        WaitingTable.Builder b = WaitingTable.newBuilder();
        int[] waiting = {0};
        core.reasons()
                .table(owner)
                .forEach(
                        (tenant, kinds) ->
                                kinds.forEach(
                                        (kind, tasks) -> {
                                            b.addRowsBuilder()
                                                    .setTenant(tenant)
                                                    .setKind(Reason.Kind.valueOf(kind.name()))
                                                    .setTasks(tasks);
                                            waiting[0] += tasks;
                                        }));
        if (owner == null) {
            Line.Counts c = core.line().counts();
            b.setOverload(c.overload()).setShed(c.shed());
        }
        return b.setWaiting(waiting[0]).build();
    }

    static Limits limits(Line line, Account account, String loaded) {
        Limits.Builder b = Limits.newBuilder();
        b.addUses(use("owner", line.ownerUse(account.login())));
        if (account.role() == Account.Role.OPERATOR) {
            line.tenantUse().forEach(t -> b.addUses(use("tenant", t)));
            b.addUses(use("site", line.allUse())).setLoaded(loaded);
        }
        return b.build();
    }

    private static Limits.Use use(String scope, Line.Use u) {
        LineSettings.Limit l = u.limit();
        Limits.Use.Builder b =
                Limits.Use.newBuilder()
                        .setScope(scope)
                        .setName(u.name())
                        .setWaiting(u.waiting())
                        .setTasks(u.tasks())
                        .setCores(u.cores())
                        .setMemory(u.memory())
                        .setShare(u.share());
        most(l.waiting(), b::setMostWaiting);
        most(l.tasks(), b::setMostTasks);
        most(l.perSecond(), b::setMostPerSecond);
        most(l.cores(), b::setMostCores);
        most(l.memory(), b::setMostMemory);
        return b.build();
    }

    private static void most(double limit, DoubleConsumer set) {
        if (Double.isFinite(limit)) {
            set.accept(limit);
        }
    }
}
