package thornferry.placer;

/**
 * Who may connect, and as what.
 *
 * @param secret a hash of the passcode, or for trials the passcode itself; null where only a
 *     certificate will do
 * @param tenant whose share an owner's tasks count in; empty where the site has no tenants
 */
public record Account(String login, String secret, Role role, String tenant) {
    /**
     * What an account may do: place tasks, be a node, or watch and drain nodes (and place tasks
     * too).
     */
    public enum Role {
        OWNER,
        AGENT,
        OPERATOR
    }

    @Override
    public String toString() {
        return login + " (" + role + ")"; // never the secret
    }
}
