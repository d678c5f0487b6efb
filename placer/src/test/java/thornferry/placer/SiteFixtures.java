package thornferry.placer;

import java.util.List;
import thornferry.decisions.admission.AdmissionSettings;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.requests.RequestTracker;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Heartbeat;

/** Sites with one kind of machine, for tests of all decision modules together. */
final class SiteFixtures {
    /** A millisecond in microseconds. */
    static final long MILLISECOND = 1_000;

    /** A second in microseconds. */
    static final long SECOND = 1_000_000;

    static final String MACHINE_KIND = "std";
    static final String ZONE = "a";
    private static final int NO_REQUIRED_KIND = -1;

    private SiteFixtures() {}

    /** Returns a task class whose tasks may run on the same machine. */
    static Placement.TaskClass taskClass(String name, Placement.Idempotency idempotency) {
        return taskClass(name, idempotency, Placement.TopologyScope.NONE);
    }

    static Placement.TaskClass taskClass(
            String name, Placement.Idempotency idempotency, Placement.TopologyScope spread) {
        return new Placement.TaskClass(
                name,
                idempotency,
                Placement.TopologyScope.ZONE,
                5 * SECOND,
                SECOND,
                8 * SECOND,
                1,
                0.1,
                12,
                1,
                1,
                0,
                NO_REQUIRED_KIND,
                spread,
                1);
    }

    /**
     * Returns a site without accounts, TLS or persistent state.
     *
     * @param machineSize the cores of each machine, and also its memory
     */
    static Site site(
            long seed,
            double machineSize,
            List<Placement.TaskClass> classes,
            RequestTracker.Limits requestLimits,
            AdmissionSettings admission) {
        return new Site(
                "p",
                placement(seed, machineSize, classes),
                seed,
                List.of(),
                new Membership.Limits(4 * SECOND, 1_000, 30 * SECOND, 5 * SECOND, 100),
                requestLimits,
                admission,
                null,
                FrameLimits.DEFAULTS,
                Heartbeat.NONE,
                5_000,
                100,
                Site.State.NONE);
    }

    /** Returns the registration of a machine that has been up for an hour and carries no load. */
    static Membership.Registration idleMachine(String name, long incarnation, double size) {
        return machine(name, incarnation, size, size, size);
    }

    /** Returns the registration of a machine that has been up for an hour. */
    static Membership.Registration machine(
            String name, long incarnation, double size, double freeCores, double freeMemory) {
        return new Membership.Registration(
                name,
                incarnation,
                MACHINE_KIND,
                ZONE,
                1,
                size,
                size,
                3_600 * SECOND,
                freeCores,
                freeMemory);
    }

    private static Placement.Settings placement(
            long seed, double machineSize, List<Placement.TaskClass> classes) {
        return new Placement.Settings(
                seed,
                0,
                1,
                ZONE,
                classes,
                List.of(new Placement.MachineKind(MACHINE_KIND, machineSize, machineSize)),
                List.of(),
                Placement.LoadReportMode.WITH_RESPONSES,
                false,
                true,
                false,
                false,
                true,
                false,
                false,
                1,
                1,
                1,
                1,
                1,
                3 * SECOND,
                new Placement.CostWeights(0, 0.08, 0.03, 0, 0.004, 0.004, 0.02, 2),
                new Placement.Rules(
                        8 * MILLISECOND, 500 * MILLISECOND, 0, 0.25, 0, 2, 3 * SECOND, 48),
                new Placement.Limits(true, true, true, false, 4, 30 * SECOND));
    }
}
