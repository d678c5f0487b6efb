package thornferry.placer;

/**
 * A login that may connect, with its role and its tenant.
 *
 * @param secret a hash of the passcode, or the passcode itself in test setups; null if only a
 *     certificate is accepted
 * @param tenant the tenant in whose quota the tasks of this account count; empty if the site has no
 *     tenants
 */
public record Account(String login, String secret, Role role, String tenant) {
    /** The role of an account, which determines the destinations that it may use. */
    public enum Role {
        /** A client, which submits tasks and owns them. */
        OWNER,
        /** A node. */
        AGENT,
        /** A client that may also watch and drain nodes and reload the configuration. */
        OPERATOR
    }

    /** Returns the login and the role, without the secret. */
    @Override
    public String toString() {
        return login + " (" + role + ")";
    }
}
