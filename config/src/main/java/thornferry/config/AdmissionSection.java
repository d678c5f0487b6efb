package thornferry.config;

import static java.util.Map.entry;
import static thornferry.config.Durations.HOUR_MILLIS;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.admission.AdmissionSettings;
import thornferry.decisions.placement.Placement;

/**
 * The table {@code [line]}: the admission queue. Other tables contain the quotas, the shares of
 * tenants, and what happens to the tasks of a class at a quota.
 */
final class AdmissionSection {
    private static final double MICROS_PER_MILLI = 1e3;

    /** The smallest share of a tenant. The admission queue requires shares above 0. */
    private static final double MIN_TENANT_SHARE = 1e-6;

    /** The treatment of tasks that would exceed a quota. */
    private enum AtLimit {
        WAIT,
        SHED
    }

    private static final Map<String, AtLimit> AT_LIMIT =
            NamedValues.of(entry("wait", AtLimit.WAIT), entry("refuse", AtLimit.SHED));

    private AdmissionSection() {}

    static AdmissionSettings read(Section root, Placement.Settings placement) {
        AdmissionSettings defaults = AdmissionSettings.defaults();
        Section section = root.table("line");
        RetryAfterRange retryAfter =
                RetryAfterRange.read(
                        section,
                        defaults.minRetryAfterMicros() / MICROS_PER_MILLI,
                        defaults.maxRetryAfterMicros() / MICROS_PER_MILLI);
        QuotaTables quotas = QuotaTables.read(root, placement);
        return new AdmissionSettings(
                section.flag("on", true),
                section.whole("length", 1, 10_000_000, defaults.maxQueued()),
                section.whole("window", 1, 1_000_000, defaults.maxDispatched()),
                micros(section, "take-back-ms", 1, defaults.recallAfterMicros()),
                micros(section, "look-again-ms", 1, defaults.backoffMicros()),
                section.number("overload-from", 0.01, 1, defaults.targetWaitFraction()),
                micros(section, "overload-interval-ms", 10, defaults.intervalMicros()),
                section.whole("oldest-turn", 2, 1_000_000, defaults.oldestEvery()),
                section.number("large-from", 0.01, 1, defaults.largeTaskFraction()),
                micros(section, "gather-after-ms", 1, defaults.reserveAfterMicros()),
                micros(section, "gather-for-ms", 0, defaults.reserveForMicros()),
                section.number("retry-share", 0, 100, defaults.retryRatio()),
                section.number("retry-per-second", 0, 1e6, defaults.retryPerSecond()),
                retryAfter.minMicros(),
                retryAfter.maxMicros(),
                quotas.eachOwner(),
                quotas.eachTenant(),
                quotas.site(),
                quotas.byOwner(),
                quotas.byTenant(),
                tenantShares(placement),
                shedClasses(root));
    }

    private static long micros(Section section, String key, long minMillis, long defaultMicros) {
        return section.millis(key, minMillis, HOUR_MILLIS, defaultMicros / MICROS_PER_MILLI);
    }

    private static Map<String, Double> tenantShares(Placement.Settings placement) {
        Map<String, Double> shares = new HashMap<>();
        for (Placement.Tenant tenant : placement.tenants()) {
            shares.put(tenant.name(), Math.max(MIN_TENANT_SHARE, tenant.share()));
        }
        return shares;
    }

    private static Set<String> shedClasses(Section root) {
        Set<String> classes = new HashSet<>();
        for (Section section : root.tables("class")) {
            if (section.choice("at-limit", AT_LIMIT, AtLimit.WAIT) == AtLimit.SHED) {
                classes.add(section.text("name", ""));
            }
        }
        return classes;
    }
}
