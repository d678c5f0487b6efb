package thornferry.testbed.load;

/**
 * A tenant of the measured site.
 *
 * @param name of the tenant
 * @param owner login of the tenant's only client
 * @param share its fair-share weight, relative to the other tenants
 */
public record TenantAccount(String name, String owner, double share) {}
