package thornferry.config;

import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement.CostWeights;

/** The table {@code [prices]}: the costs that the placement module weighs against each other. */
final class PricesSection {
    private static final double MAX_COST = 1_000;

    private PricesSection() {}

    static CostWeights read(Section root) {
        Section section = root.table("prices");
        return new CostWeights(
                cost(section, "fleet", 0),
                cost(section, "moves", 0.08),
                cost(section, "waste", 0.03),
                cost(section, "cross-zone", 0),
                cost(section, "probe", 0.004),
                cost(section, "list-lines", 0.004),
                cost(section, "refused-offer", 0.02),
                cost(section, "eviction-as-moves", 2));
    }

    private static double cost(Section section, String key, double defaultCost) {
        return section.number(key, 0, MAX_COST, defaultCost);
    }
}
