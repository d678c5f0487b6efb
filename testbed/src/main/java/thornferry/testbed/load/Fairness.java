package thornferry.testbed.load;

import java.util.List;

/**
 * How fairly tenants were served.
 *
 * @param jainIndex Jain's fairness index over the service ratios
 * @param serviceRatios by tenant, in the order of the tenants
 */
public record Fairness(double jainIndex, List<ServiceRatio> serviceRatios) {
    /**
     * The service that a tenant received, relative to its entitlement.
     *
     * @param tenant name of the tenant
     * @param ratio fraction of all service that the tenant received, divided by the fraction that
     *     its share entitles it to; 1 if it received exactly its fair share
     */
    public record ServiceRatio(String tenant, double ratio) {}

    /** Copies the list. */
    public Fairness {
        serviceRatios = List.copyOf(serviceRatios);
    }

    /** The fairness of the service received; all ratios are 0 if there was none. */
    public static Fairness of(List<TenantTotals> tenants) {
        double allCoreSeconds = tenants.stream().mapToDouble(TenantTotals::coreSeconds).sum();
        double allShares = tenants.stream().mapToDouble(total -> total.tenant().share()).sum();
        List<ServiceRatio> ratios =
                tenants.stream()
                        .map(total -> serviceRatio(total, allCoreSeconds, allShares))
                        .toList();
        return new Fairness(
                jainIndex(ratios.stream().mapToDouble(ServiceRatio::ratio).toArray()), ratios);
    }

    private static ServiceRatio serviceRatio(
            TenantTotals total, double allCoreSeconds, double allShares) {
        double entitled = total.tenant().share() / allShares;
        double ratio = allCoreSeconds == 0 ? 0 : total.coreSeconds() / allCoreSeconds / entitled;
        return new ServiceRatio(total.tenant().name(), ratio);
    }

    /**
     * Jain's fairness index, {@code (sum x)^2 / (n * sum x^2)}: 1 if all values are equal, 1/n if
     * all but one are 0. From R. Jain, D. Chiu and W. Hawe, "A Quantitative Measure of Fairness and
     * Discrimination for Resource Allocation in Shared Computer Systems", DEC Research Report
     * TR-301, 1984.
     *
     * @param values not negative
     * @return the index; 0 if all values are 0
     */
    static double jainIndex(double... values) {
        double sum = 0;
        double sumOfSquares = 0;
        for (double value : values) {
            sum += value;
            sumOfSquares += value * value;
        }
        return sumOfSquares == 0 ? 0 : sum * sum / (values.length * sumOfSquares);
    }
}
