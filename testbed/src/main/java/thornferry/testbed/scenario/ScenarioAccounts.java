package thornferry.testbed.scenario;

import java.util.ArrayList;
import java.util.List;
import thornferry.placer.Account;

/** The logins of a scenario's nodes, clients and operator, which share one passcode. */
final class ScenarioAccounts {
    /** The login of all nodes. */
    static final String AGENT = "day-agent";

    /** The login of the operator that drains nodes. */
    static final String OPERATOR = "day-operator";

    static final String PASSCODE = "day";

    private static final String NO_TENANT = "";

    private ScenarioAccounts() {}

    /** The login of a client; the clients of different placers share their logins. */
    static String client(int number) {
        return "owner-" + number;
    }

    /**
     * The accounts that a placer needs.
     *
     * @param secret the passcode as the placer stores it
     */
    static List<Account> all(int clientCount, String secret) {
        List<Account> accounts = new ArrayList<>();
        accounts.add(new Account(AGENT, secret, Account.Role.AGENT, NO_TENANT));
        accounts.add(new Account(OPERATOR, secret, Account.Role.OPERATOR, NO_TENANT));
        for (int number = 0; number < clientCount; number++) {
            accounts.add(new Account(client(number), secret, Account.Role.OWNER, NO_TENANT));
        }
        return accounts;
    }
}
