package thornferry.placer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.admission.AdmissionQueue;
import thornferry.decisions.attempts.AttemptTracker;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.membership.ClusterView;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.recovery.Recovery;
import thornferry.decisions.requests.RequestTracker;

/**
 * The decision modules of one placer instance and the classes that carry out their actions. The
 * modules drive each other in a cycle (a rejected offer makes the policy offer elsewhere, which
 * begins an attempt, and so on), so the action classes reach each other through this class.
 */
final class PlacerComponents {
    private static final Logger LOG = LoggerFactory.getLogger(PlacerComponents.class);
    private static final int MAX_REASON_HISTORY = 32;
    private static final int INCARNATION_ID_RADIX = 36;

    final PlacerInstance instance;
    final PlacerOutput output;
    final TaskClasses taskClasses;

    final PolicyExecutor policy;
    final Membership membership;
    final ClusterView cluster;
    final RequestTracker requests;
    final AdmissionQueue admissionQueue;
    final AttemptTracker attempts;
    final Recovery recovery;
    final PendingReasons reasons;
    final WriteAheadJournal journal;
    final HealthChecks healthChecks = new HealthChecks(this);

    final PolicyActions policyActions = new PolicyActions(this);
    final MembershipActions membershipActions = new MembershipActions(this);
    final RequestActions requestActions = new RequestActions(this);
    final AdmissionActions admissionActions = new AdmissionActions(this);
    final AttemptActions attemptActions = new AttemptActions(this);
    final RecoveryActions recoveryActions = new RecoveryActions(this);

    private final Function<String, String> tenantByOwner;

    /**
     * Creates the modules of an instance.
     *
     * @param tenantByOwner maps an owner to its tenant, or to the empty string
     */
    PlacerComponents(
            PlacerInstance instance,
            Function<Placement.Settings, Placement> policyFactory,
            Function<String, String> tenantByOwner,
            RecoveredState recovered,
            PlacerOutput output) {
        this.instance = instance;
        this.output = output;
        this.tenantByOwner = tenantByOwner;
        Site site = instance.site();
        Placement.Settings settings = site.placementOf(instance.number());
        long now = clock().now();
        taskClasses = new TaskClasses(settings.classes());
        policy =
                new PolicyExecutor(
                        policyFactory.apply(settings),
                        instance.loop(),
                        instance.clock(),
                        policyActions,
                        policyActions::policyFailed,
                        LOG,
                        instance.name());
        membership = new Membership(site.membershipLimits(), settings.machineKinds());
        attempts =
                new AttemptTracker(
                        instance.name() + "." + Long.toString(now, INCARNATION_ID_RADIX));
        requests = requestTracker(site, settings, recovered, now);
        recovery = recovery(site, recovered);
        journal =
                new WriteAheadJournal(
                        recovered.journal(), recovery, instance.loop(), output::notifyResult);
        cluster = new ClusterView(settings.machineKinds());
        admissionQueue = new AdmissionQueue(site.admission(), cluster, settings.seed());
        reasons = pendingReasons(site, settings);
    }

    Clock clock() {
        return instance.clock();
    }

    /** Returns the tenant of an owner; empty if the owner has none. */
    String tenantOf(String owner) {
        return tenantByOwner.apply(owner);
    }

    private static RequestTracker requestTracker(
            Site site, Placement.Settings settings, RecoveredState recovered, long now) {
        // With a complete journal there is no need to wait for machines to report what they run.
        RequestTracker.Limits limits =
                recovered.complete()
                        ? site.requestLimits().withoutSettling()
                        : site.requestLimits();
        return new RequestTracker(limits, settings.classes(), settings.seed(), now);
    }

    private static Recovery recovery(Site site, RecoveredState recovered) {
        return new Recovery(
                new Recovery.Limits(
                        site.requestLimits().retentionMicros(),
                        site.requestLimits().maxWaitMicros(),
                        site.membershipLimits().goneAfterMicros(),
                        site.requestLimits().maxRetained(),
                        recovered.complete()));
    }

    private PendingReasons pendingReasons(Site site, Placement.Settings settings) {
        return new PendingReasons(
                new PendingReasons.Limits(
                        site.admission().enabled(),
                        site.requestLimits().maxRetained(),
                        MAX_REASON_HISTORY,
                        site.requestLimits().retentionMicros()),
                cluster,
                admissionQueue,
                requiredKinds(settings.classes(), settings.machineKinds()),
                membership::connectionOf);
    }

    /** Returns the required machine kind by task class; classes that require none are absent. */
    private static Map<String, String> requiredKinds(
            List<Placement.TaskClass> classes, List<Placement.MachineKind> kinds) {
        Map<String, String> requiredKinds = new HashMap<>();
        for (Placement.TaskClass taskClass : classes) {
            if (taskClass.requiredKind() >= 0) {
                requiredKinds.put(taskClass.name(), kinds.get(taskClass.requiredKind()).name());
            }
        }
        return requiredKinds;
    }
}
