package thornferry.placer;

import java.util.List;
import thornferry.decisions.admission.AdmissionSettings;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.requests.RequestTracker;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Heartbeat;

/** Sites of one kind of machine, for tests of the decision modules together. */
final class SiteFixtures {
    static final long MS = 1_000;
    static final long SECOND = 1_000_000;

    private SiteFixtures() {}

    static Placement.TaskClass cls(
            String name, Placement.Idempotency effect, Placement.TopologyScope spread) {
        return new Placement.TaskClass(
                name,
                effect,
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
                -1,
                spread,
                1);
    }

    /**
     * @param size of each machine, in cores and memory alike
     */
    static Site of(
            long seed,
            double size,
            List<Placement.TaskClass> classes,
            RequestTracker.Limits intake,
            AdmissionSettings line) {
        Placement.Settings settings =
                new Placement.Settings(
                        seed,
                        0,
                        1,
                        "a",
                        classes,
                        List.of(new Placement.MachineKind("std", size, size)),
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
                        new Placement.Rules(8 * MS, 500 * MS, 0, 0.25, 0, 2, 3 * SECOND, 48),
                        new Placement.Limits(true, true, true, false, 4, 30 * SECOND));
        return new Site(
                "p",
                settings,
                seed,
                List.of(),
                new Membership.Limits(4 * SECOND, 1_000, 30 * SECOND, 5 * SECOND, 100),
                intake,
                line,
                null,
                FrameLimits.USUAL,
                Heartbeat.NONE,
                5_000,
                100,
                Site.State.NONE);
    }
}
