package thornferry.config;

import static thornferry.config.Durations.HOUR_MILLIS;

import java.util.List;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.placement.Placement.CostWeights;
import thornferry.decisions.placement.Placement.Limits;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.MachineKind;
import thornferry.decisions.placement.Placement.Rules;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.placement.Placement.Tenant;

/** The table {@code [asks]} and all other tables with settings of the placement module. */
final class PlacementTables {
    private PlacementTables() {}

    static Placement.Settings read(Section root, PlacerSection placer) {
        List<MachineKind> kinds = KindTables.read(root);
        List<TaskClass> classes = ClassTables.read(root, kinds);
        List<Tenant> tenants = TenantTables.read(root);
        Section requests = root.table("asks");
        CostWeights costWeights = PricesSection.read(root);
        Rules rules = RulesSection.read(root);
        Limits limits = LimitsSection.read(root);
        if (classes.isEmpty() || kinds.isEmpty()) {
            root.complain(classes.isEmpty() ? "class" : "kind", "at least one is required");
        }
        return new Placement.Settings(
                /* seed= */ 0,
                /* instanceIndex= */ 0,
                placer.placers(),
                placer.readZone(),
                classes.isEmpty() ? List.of(ClassTables.placeholder()) : classes,
                kinds.isEmpty() ? List.of(KindTables.placeholder()) : kinds,
                tenants,
                LoadReportMode.WITH_RESPONSES,
                /* reportsMeasureUsage= */ false,
                /* listShowsFreeCapacity= */ true,
                /* listNeedsSubscription= */ false,
                /* acceptedWhenRunning= */ false,
                /* observesTasks= */ true,
                /* preempts= */ false,
                /* onePlacerPerService= */ false,
                requests.number("accept-cores", 0.1, 100, 1),
                requests.number("accept-memory", 0.1, 100, 1),
                requests.number("mean-cores", 1e-6, 1e6, 1),
                requests.number("mean-memory", 1e-6, 1e6, 2),
                requests.number("over-share-worth", 0, 1, 1),
                requests.millis("owner-wait-ms", 0, HOUR_MILLIS, 3_000),
                costWeights,
                rules,
                limits);
    }
}
