package thornferry.testbed.load;

import java.util.List;
import thornferry.decisions.placement.Placement;
import thornferry.placer.Site;

/**
 * What an overload experiment runs on: the configuration of its placer, its tenants and its nodes.
 *
 * @param site has an owner account for each tenant and an agent account {@code load-node}, all with
 *     passcode {@code load}
 * @param tenants whose clients request tasks
 * @param nodeCount number of emulated nodes, of the site's first machine kind
 */
public record OverloadSetup(Site site, List<TenantAccount> tenants, int nodeCount) {
    /** Copies the list. */
    public OverloadSetup {
        tenants = List.copyOf(tenants);
    }

    /** Tasks per second that use all cores of the nodes. */
    public double capacityTasksPerSecond() {
        return nodeCount
                * machineKind().cores()
                / (SmallTaskFactory.MEAN_CORES * SmallTaskFactory.MEAN_RUN_SECONDS);
    }

    /** The site with or without its admission queue. */
    Site siteWithAdmissionQueue(boolean enabled) {
        return enabled ? site : site.withoutAdmissionQueue();
    }

    /** The site with or without capacity reservations for large tasks. */
    Site siteWithReservations(boolean enabled) {
        return enabled ? site : site.withAdmission(site.admission().withoutReservations());
    }

    NodeFleet fleet() {
        Placement.MachineKind kind = machineKind();
        return new NodeFleet(nodeCount, kind.name(), kind.cores(), kind.memory());
    }

    private Placement.MachineKind machineKind() {
        return site.placement().machineKinds().get(0);
    }
}
