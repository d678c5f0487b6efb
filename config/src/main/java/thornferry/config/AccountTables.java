package thornferry.config;

import static java.util.Map.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement;
import thornferry.placer.Account;
import thornferry.security.Passcodes;

/** The tables {@code [[account]]}: the logins that may connect, and their roles. */
final class AccountTables {
    private static final Map<String, Account.Role> ROLES =
            NamedValues.of(
                    entry("owner", Account.Role.OWNER),
                    entry("agent", Account.Role.AGENT),
                    entry("operator", Account.Role.OPERATOR));

    private AccountTables() {}

    static List<Account> read(Section root, Placement.Settings placement) {
        Set<String> tenants =
                placement.tenants().stream()
                        .map(Placement.Tenant::name)
                        .collect(Collectors.toSet());
        List<Account> accounts = new ArrayList<>();
        Set<String> logins = new HashSet<>();
        for (Section section : root.tables("account")) {
            Account account = account(section);
            if (!logins.add(account.login())) {
                section.complain("login", "account " + account.login() + " is already defined");
            }
            if (!account.tenant().isEmpty() && !tenants.contains(account.tenant())) {
                section.complain(
                        "tenant", "no tenant " + account.tenant() + " is defined in this file");
            }
            accounts.add(account);
        }
        if (accounts.isEmpty()) {
            root.complain(
                    "account",
                    "at least one is required, as nobody could connect without an account");
        }
        return accounts;
    }

    private static Account account(Section section) {
        return new Account(
                section.requiredText("login"),
                secret(section),
                section.requiredChoice("role", ROLES),
                section.text("tenant", ""));
    }

    /**
     * Returns the hash of the passcode, or the passcode itself, which is meant for trials; null if
     * the account must log in with a certificate. See {@link Account#secret}.
     */
    private static String secret(Section section) {
        String hash = section.text("passcode-hash", "");
        String plain = section.text("passcode", "");
        if (!hash.isEmpty() && !Passcodes.isHash(hash)) {
            section.complain(
                    "passcode-hash", "must be a hash printed by `thornferry keys passcode`");
        }
        if (!hash.isEmpty() && !plain.isEmpty()) {
            section.complain("passcode", "must not be set together with passcode-hash");
        }
        if (!hash.isEmpty()) {
            return hash;
        }
        return plain.isEmpty() ? null : plain;
    }
}
