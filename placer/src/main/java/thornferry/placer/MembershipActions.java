package thornferry.placer;

import java.util.LinkedHashSet;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.recovery.MachineInventory;

/** Carries out the actions of {@link Membership} and passes it the registrations of nodes. */
final class MembershipActions implements Consumer<Membership.Action> {
    private static final Logger LOG = LoggerFactory.getLogger(MembershipActions.class);

    /**
     * The version of each update of the machine list; constant, since membership has only one list.
     */
    private static final int LIST_VERSION = 0;

    private final PlacerComponents components;

    MembershipActions(PlacerComponents components) {
        this.components = components;
    }

    /** Processes the registration of a node. */
    void register(NodeRegistration registration) {
        components.membership.register(
                components.clock().now(),
                registration.connection(),
                registration.machine(),
                action -> {
                    if (action instanceof Membership.MachineRegistered admitted) {
                        admit(admitted, registration);
                    } else {
                        accept(action);
                    }
                });
    }

    @Override
    public void accept(Membership.Action action) {
        if (action instanceof Membership.MachinesChanged changed) {
            components.cluster.update(changed.entries());
            components.policy.accept(
                    new Placement.MachineListUpdated(
                            LIST_VERSION, Placement.ListUpdateKind.DELTA, changed.entries()));
        } else if (action instanceof Membership.CloseConnection close) {
            components.output.closeConnection(close.connection(), close.reason());
        } else if (action instanceof Membership.IncarnationEnded ended) {
            incarnationEnded(ended);
        } else if (action instanceof Membership.MachineRemoved forgotten) {
            components.cluster.remove(forgotten.machine());
        } else if (action instanceof Membership.NotifyDrain drain) {
            components.output.notifyDrain(drain.machine(), drain.draining());
        } else {
            throw new IllegalStateException("action that only a registration may cause: " + action);
        }
    }

    private void incarnationEnded(Membership.IncarnationEnded ended) {
        long now = components.clock().now();
        LOG.atWarn()
                .addKeyValue("instance", components.instance.name())
                .addKeyValue("node", ended.machine())
                .log("incarnation {} ended: {}", ended.incarnation(), ended.reason());
        components.attempts.incarnationEnded(
                now, ended.machine(), ended.incarnation(), components.attemptActions);
    }

    /**
     * Processes the inventory of an admitted machine. The order matters: reports that an earlier
     * connection may have lost come first, then the attempts that the machine holds, and only then
     * does recovery decide about attempts that the machine no longer has.
     */
    private void admit(Membership.MachineRegistered admitted, NodeRegistration registration) {
        long now = components.clock().now();
        String machine = admitted.machine();
        registration
                .recentReports()
                .forEach(report -> components.attemptActions.report(machine, report));
        components.attemptActions.reconcile(now, machine, admitted.incarnation(), registration);
        components.recovery.machineRegistered(
                now,
                new MachineInventory(
                        machine,
                        admitted.incarnation(),
                        new LinkedHashSet<>(registration.heldAttemptsById().keySet()),
                        registration.retainedAttempts(),
                        registration.completeSinceMicros()),
                components.attempts::isOfThisIncarnation,
                components.recoveryActions);
        components.output.welcome(machine, components.recovery.limits().machineRetentionMicros());
    }
}
