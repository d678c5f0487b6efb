package thornferry.testbed.diagnosis;

import java.util.Optional;
import thornferry.protocol.v1.Reason.Kind;
import thornferry.testbed.diagnosis.ScenarioSite.TaskClass;

/** Scenarios in which a quota of the owner, the tenant or the site holds back the observed task. */
final class QuotaScenarios {
    private static final String OWNER_QUOTA =
            """
            [[limit]]
            owner = "owner1"
            tasks = 1
            """;
    private static final String TENANT_QUOTA =
            """
            [[limit]]
            tenant = "one"
            cores = 2
            """;
    private static final String SITE_QUOTA =
            """
            [[limit]]
            site = true
            tasks = 1
            """;

    private QuotaScenarios() {}

    /** A running task uses up the owner's quota of one task, until it ends. */
    static PendingReasonScenario ownerQuota() {
        return new PendingReasonScenario(
                "one's own limit",
                OWNER_QUOTA,
                cluster -> {
                    cluster.startNode("n1");
                    cluster.place("first", TaskClass.IDEMPOTENT, 1);
                    cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
                },
                new ExpectedReason(Kind.OWN_LIMIT, "tasks"),
                Optional.of(cluster -> cluster.node("n1").endTask("first")));
    }

    /** A running task uses all cores of the tenant's quota, until it ends. */
    static PendingReasonScenario tenantQuota() {
        return new PendingReasonScenario(
                "the tenant's limit",
                TENANT_QUOTA,
                cluster -> {
                    cluster.startNode("n1");
                    cluster.place("first", TaskClass.IDEMPOTENT, 2);
                    cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
                },
                new ExpectedReason(Kind.TENANT_LIMIT, "cores"),
                Optional.of(cluster -> cluster.node("n1").endTask("first")));
    }

    /** Another owner's task uses up the site's quota of one task, until it ends. */
    static PendingReasonScenario siteQuota() {
        return new PendingReasonScenario(
                "the site's limit",
                SITE_QUOTA,
                cluster -> {
                    cluster.startNode("n1");
                    cluster.placeAsOtherOwner(TaskClass.IDEMPOTENT, 1);
                    cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
                },
                new ExpectedReason(Kind.OVERLOADED, "tasks"),
                Optional.of(
                        cluster -> cluster.node("n1").endTask(ScenarioCluster.OTHER_OWNERS_TASK)));
    }
}
