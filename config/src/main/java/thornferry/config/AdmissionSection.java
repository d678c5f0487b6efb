package thornferry.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.admission.AdmissionSettings;
import thornferry.decisions.admission.Quota;
import thornferry.decisions.placement.Placement;

/**
 * The table {@code [line]}, the tables {@code [[limit]]}, the shares of tenants and what classes do
 * at a limit.
 */
final class AdmissionSection {
    private static final long HOUR_MS = 3_600_000;
    private static final double NONE = Double.POSITIVE_INFINITY;

    /** What a class does where a limit is reached. */
    private enum AtLimit {
        WAIT,
        REFUSE
    }

    private AdmissionSection() {}

    static AdmissionSettings read(Section root, Placement.Settings module) {
        AdmissionSettings usual = AdmissionSettings.defaults();
        Section s = root.table("line");
        long least = s.millis("retry-least-ms", 1, HOUR_MS, usual.minRetryAfterMicros() / 1e3);
        long most = s.millis("retry-most-ms", 1, HOUR_MS, usual.maxRetryAfterMicros() / 1e3);
        if (most < least) {
            s.complain("retry-most-ms", "must not be under retry-least-ms");
        }
        Quota[] all = {Quota.UNLIMITED, Quota.UNLIMITED, Quota.UNLIMITED};
        Map<String, Quota> owners = new HashMap<>();
        Map<String, Quota> tenants = new HashMap<>();
        limits(root, module, all, owners, tenants);
        Map<String, Double> shares = new HashMap<>();
        module.tenants().forEach(t -> shares.put(t.name(), Math.max(1e-6, t.share())));
        return new AdmissionSettings(
                s.flag("on", true),
                s.whole("length", 1, 10_000_000, usual.maxQueued()),
                s.whole("window", 1, 1_000_000, usual.maxDispatched()),
                s.millis("take-back-ms", 1, HOUR_MS, usual.recallAfterMicros() / 1e3),
                s.millis("look-again-ms", 1, HOUR_MS, usual.backoffMicros() / 1e3),
                s.number("overload-from", 0.01, 1, usual.targetWaitFraction()),
                s.millis("overload-interval-ms", 10, HOUR_MS, usual.intervalMicros() / 1e3),
                s.whole("oldest-turn", 2, 1_000_000, usual.oldestEvery()),
                s.number("large-from", 0.01, 1, usual.largeTaskFraction()),
                s.millis("gather-after-ms", 1, HOUR_MS, usual.reserveAfterMicros() / 1e3),
                s.millis("gather-for-ms", 0, HOUR_MS, usual.reserveForMicros() / 1e3),
                s.number("retry-share", 0, 100, usual.retryRatio()),
                s.number("retry-per-second", 0, 1e6, usual.retryPerSecond()),
                least,
                Math.max(least, most),
                all[0],
                all[1],
                all[2],
                owners,
                tenants,
                shares,
                refusing(root));
    }

    private static Set<String> refusing(Section root) {
        Set<String> refuse = new HashSet<>();
        for (Section c : root.tables("class")) {
            if (c.choice("at-limit", AtLimit.class, AtLimit.WAIT) == AtLimit.REFUSE) {
                refuse.add(c.text("name", ""));
            }
        }
        return refuse;
    }

    private static void limits(
            Section root,
            Placement.Settings module,
            Quota[] all,
            Map<String, Quota> owners,
            Map<String, Quota> tenants) {
        List<String> logins = new ArrayList<>();
        root.tables("account").forEach(a -> logins.add(a.text("login", "")));
        Set<String> seen = new HashSet<>();
        for (Section s : root.tables("limit")) {
            String owner = s.text("owner", "");
            String tenant = s.text("tenant", "");
            boolean site = s.flag("site", false);
            if ((owner.isEmpty() ? 0 : 1) + (tenant.isEmpty() ? 0 : 1) + (site ? 1 : 0) != 1) {
                s.complain(
                        "owner",
                        "a limit names one of owner = \"LOGIN\", tenant = \"NAME\" (or \"*\" for"
                                + " each) and site = true");
            } else if (!owner.isEmpty() && !owner.equals("*") && !logins.contains(owner)) {
                s.complain("owner", "no account " + owner + " stands in this file");
            } else if (!tenant.isEmpty()
                    && !tenant.equals("*")
                    && module.tenants().stream().noneMatch(t -> t.name().equals(tenant))) {
                s.complain("tenant", "no tenant " + tenant + " stands in this file");
            } else if (!seen.add(owner + "/" + tenant + "/" + site)) {
                s.complain(
                        site ? "site" : owner.isEmpty() ? "tenant" : "owner",
                        "its limit stands already");
            }
            Quota limit = limit(s);
            if (site) {
                all[2] = limit;
            } else if (!owner.isEmpty()) {
                if (owner.equals("*")) {
                    all[0] = limit;
                } else {
                    owners.put(owner, limit);
                }
            } else if (tenant.equals("*")) {
                all[1] = limit;
            } else if (!tenant.isEmpty()) {
                tenants.put(tenant, limit);
            }
        }
    }

    private static Quota limit(Section s) {
        double perSecond = s.number("per-second", 1e-3, 1e9, NONE);
        double burst =
                s.number(
                        "burst",
                        1,
                        1e9,
                        Double.isFinite(perSecond) ? Math.max(1, perSecond) : NONE);
        return new Quota(
                s.number("waiting", 0, 1e9, NONE),
                s.number("tasks", 1, 1e9, NONE),
                perSecond,
                burst,
                s.number("cores", 1e-3, 1e9, NONE),
                s.number("memory", 1e-3, 1e9, NONE));
    }
}
