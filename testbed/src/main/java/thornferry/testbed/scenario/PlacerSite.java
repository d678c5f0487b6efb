package thornferry.testbed.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import thornferry.placer.Account;
import thornferry.placer.Site;
import thornferry.security.Passcodes;

/** The configuration of one placer of a scenario. */
final class PlacerSite {
    private static final long SEED_FACTOR = 97;

    private PlacerSite() {}

    /** The scenario's site with the placer's name, number and seed, the accounts and the keys. */
    static Site of(ScenarioFile scenario, int number, Optional<ScenarioKeys> keys) {
        Site site = scenario.site();
        List<Account> accounts = new ArrayList<>(site.accounts());
        accounts.addAll(ScenarioAccounts.all(scenario.settings().clientsPerPlacer(), secret(keys)));
        Site placerSite =
                site.asPlacer(
                        nameOf(number),
                        number,
                        scenario.settings().placerCount(),
                        scenario.seed() * SEED_FACTOR + number,
                        accounts);
        return keys.map(ScenarioKeys::serverFiles).map(placerSite::withTls).orElse(placerSite);
    }

    /** The name of a placer, also in the capture. */
    static String nameOf(int number) {
        return "p" + number;
    }

    /** The passcode as placers store it: hashed if the scenario uses TLS. */
    private static String secret(Optional<ScenarioKeys> keys) {
        return keys.isPresent()
                ? Passcodes.hash(ScenarioAccounts.PASSCODE)
                : ScenarioAccounts.PASSCODE;
    }
}
