package thornferry.testbed.load;

import java.util.List;

/**
 * What was placed within a period.
 *
 * @param placed number of placed tasks
 * @param priorityWeight sum of their priority weights
 * @param tenants service by tenant
 */
record ServiceTotals(long placed, double priorityWeight, List<TenantTotals> tenants) {
    /** Copies the list. */
    ServiceTotals {
        tenants = List.copyOf(tenants);
    }
}
