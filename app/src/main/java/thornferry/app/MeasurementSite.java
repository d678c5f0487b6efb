package thornferry.app;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import thornferry.testbed.load.NodeFleet;
import thornferry.testbed.load.TenantAccount;

/**
 * Builds the configuration, in TOML, of the site that the commands {@code load} and {@code
 * overload} measure. The task classes come from a resource; accounts and options are added to it.
 */
final class MeasurementSite {
    /** The passcode of all accounts. */
    static final String PASSCODE = "load";

    /** The login of the emulated nodes. */
    static final String AGENT_LOGIN = "load-node";

    private static final String RESOURCE = "/load.toml";
    private static final String MACHINE_KIND = "std-node";
    private static final double MACHINE_CORES = 24;
    private static final double MACHINE_MEMORY = 60;
    private static final String ZONE_LINE = "zone = \"hall-a\"\n";
    private static final int FIRST_PORT_OF_SEVERAL = 20_000;
    private static final int ANY_PORT = 0;

    private final StringBuilder toml = new StringBuilder();

    private MeasurementSite() throws IOException {
        try (InputStream in = MeasurementSite.class.getResourceAsStream(RESOURCE)) {
            toml.append(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    /**
     * Returns the configuration for {@code load}.
     *
     * @param clientCount number of owner accounts
     * @param instanceCount number of placer instances
     * @param admissionQueue whether the admission queue is enabled
     */
    static String forLoad(int clientCount, int instanceCount, boolean admissionQueue)
            throws IOException {
        MeasurementSite site = new MeasurementSite();
        for (int i = 0; i < clientCount; i++) {
            site.addAccount(ownerLogin(i), "owner");
        }
        site.addAccount(AGENT_LOGIN, "agent");
        if (!admissionQueue) {
            site.toml.append("[line]\non = false\n");
        }
        int port = instanceCount > 1 ? FIRST_PORT_OF_SEVERAL : ANY_PORT;
        String instanceLines = "instances = " + instanceCount + "\nport = " + port + "\n";
        return site.toml.toString().replace(ZONE_LINE, ZONE_LINE + instanceLines);
    }

    /** Returns the configuration for {@code overload}, with an owner account for each tenant. */
    static String forTenants(List<TenantAccount> tenants) throws IOException {
        MeasurementSite site = new MeasurementSite();
        for (TenantAccount tenant : tenants) {
            site.addTenant(tenant);
        }
        site.addAccount(AGENT_LOGIN, "agent");
        return site.toml.toString();
    }

    /** Returns the login of the client with this index. */
    static String ownerLogin(int client) {
        return "owner-" + client;
    }

    /** Returns a fleet of nodes of the site's only machine kind. */
    static NodeFleet fleet(int nodeCount) {
        return new NodeFleet(nodeCount, MACHINE_KIND, MACHINE_CORES, MACHINE_MEMORY);
    }

    private void addTenant(TenantAccount tenant) {
        toml.append("[[tenant]]\nname = \"")
                .append(tenant.name())
                .append("\"\nshare = ")
                .append(tenant.share())
                .append('\n');
        addAccount(tenant.owner(), "owner");
        toml.append("tenant = \"").append(tenant.name()).append("\"\n");
    }

    private void addAccount(String login, String role) {
        toml.append("[[account]]\nlogin = \"")
                .append(login)
                .append("\"\npasscode = \"")
                .append(PASSCODE)
                .append("\"\nrole = \"")
                .append(role)
                .append("\"\n");
    }
}
