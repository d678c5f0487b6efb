package thornferry.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.admission.Quota;
import thornferry.decisions.placement.Placement;

/** The tables {@code [[limit]]}: the quotas of owners, of tenants and of the site. */
final class QuotaTables {
    private static final String EACH = "*";
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;

    private final List<String> logins;
    private final List<String> tenantNames;
    private final Set<Subject> subjects = new HashSet<>();
    private Quota eachOwner = Quota.UNLIMITED;
    private Quota eachTenant = Quota.UNLIMITED;
    private Quota site = Quota.UNLIMITED;
    private final Map<String, Quota> byOwner = new HashMap<>();
    private final Map<String, Quota> byTenant = new HashMap<>();

    /**
     * The subject of a quota. In a valid table, exactly one of the components is set.
     *
     * @param owner login of an owner, {@link #EACH}, or empty
     * @param tenant name of a tenant, {@link #EACH}, or empty
     * @param site true if the quota applies to all tasks of the site together
     */
    private record Subject(String owner, String tenant, boolean site) {
        static Subject read(Section section) {
            return new Subject(
                    section.text("owner", ""),
                    section.text("tenant", ""),
                    section.flag("site", false));
        }

        boolean isValid() {
            return Stream.of(!owner.isEmpty(), !tenant.isEmpty(), site)
                            .filter(isSet -> isSet)
                            .count()
                    == 1;
        }

        String key() {
            if (site) {
                return "site";
            }
            return owner.isEmpty() ? "tenant" : "owner";
        }
    }

    private QuotaTables(List<String> logins, List<String> tenantNames) {
        this.logins = logins;
        this.tenantNames = tenantNames;
    }

    static QuotaTables read(Section root, Placement.Settings placement) {
        List<String> logins =
                root.tables("account").stream().map(account -> account.text("login", "")).toList();
        List<String> tenantNames =
                placement.tenants().stream().map(Placement.Tenant::name).toList();
        QuotaTables tables = new QuotaTables(logins, tenantNames);
        root.tables("limit").forEach(tables::add);
        return tables;
    }

    private void add(Section section) {
        Subject subject = Subject.read(section);
        check(section, subject);
        Quota quota = quota(section);
        if (subject.site()) {
            site = quota;
        } else if (subject.owner().equals(EACH)) {
            eachOwner = quota;
        } else if (!subject.owner().isEmpty()) {
            byOwner.put(subject.owner(), quota);
        } else if (subject.tenant().equals(EACH)) {
            eachTenant = quota;
        } else if (!subject.tenant().isEmpty()) {
            byTenant.put(subject.tenant(), quota);
        }
    }

    private void check(Section section, Subject subject) {
        if (!subject.isValid()) {
            section.complain(
                    "owner",
                    "a limit must set exactly one of owner = \"LOGIN\", tenant = \"NAME\" (\"*\""
                            + " for each) and site = true");
        } else if (!isKnown(subject.owner(), logins)) {
            section.complain("owner", "no account " + subject.owner() + " is defined in this file");
        } else if (!isKnown(subject.tenant(), tenantNames)) {
            section.complain(
                    "tenant", "no tenant " + subject.tenant() + " is defined in this file");
        } else if (!subjects.add(subject)) {
            section.complain(subject.key(), "a limit for the same subject is already defined");
        }
    }

    private static boolean isKnown(String name, List<String> knownNames) {
        return name.isEmpty() || name.equals(EACH) || knownNames.contains(name);
    }

    private static Quota quota(Section section) {
        double perSecond = section.number("per-second", 1e-3, 1e9, UNLIMITED);
        double defaultBurst = Math.max(1, perSecond); // unlimited if the rate is unlimited
        double burst = section.number("burst", 1, 1e9, defaultBurst);
        return new Quota(
                section.number("waiting", 0, 1e9, UNLIMITED),
                section.number("tasks", 1, 1e9, UNLIMITED),
                perSecond,
                burst,
                section.number("cores", 1e-3, 1e9, UNLIMITED),
                section.number("memory", 1e-3, 1e9, UNLIMITED));
    }

    /** Returns the quota of each owner without a quota of its own. */
    Quota eachOwner() {
        return eachOwner;
    }

    /** Returns the quota of each tenant without a quota of its own. */
    Quota eachTenant() {
        return eachTenant;
    }

    /** Returns the quota of all tasks of the site together. */
    Quota site() {
        return site;
    }

    Map<String, Quota> byOwner() {
        return byOwner;
    }

    Map<String, Quota> byTenant() {
        return byTenant;
    }
}
