package thornferry.testbed.load;

/**
 * The service that a tenant received.
 *
 * @param tenant with its share
 * @param coreSeconds of its placed tasks
 */
public record TenantTotals(TenantAccount tenant, double coreSeconds) {}
