package thornferry.app;

import java.io.IOException;
import java.time.Duration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Groups the commands on a site's certificates and passcodes. */
@Command(
        name = "keys",
        description = "Manages the certificates of a site and hashes passcodes.",
        footer = {
            "",
            "Examples:",
            "  thornferry keys init --dir keys",
            "  thornferry keys server placer-0 --dir keys --host 127.0.0.1,localhost",
            "  thornferry keys owner depot1 --dir keys",
            "  thornferry keys show --dir keys",
            "  thornferry keys renew depot1 --dir keys",
            "  thornferry keys passcode"
        },
        subcommands = {
            KeysCommand.Init.class,
            KeysIssueCommand.Server.class,
            KeysIssueCommand.Agent.class,
            KeysIssueCommand.Owner.class,
            KeysIssueCommand.Operator.class,
            KeysShowCommand.class,
            KeysCommand.Renew.class,
            PasscodeCommand.class
        })
final class KeysCommand extends CommandGroup {
    /** Creates the certificate authority of a site. */
    @Command(
            name = "init",
            description =
                    "Creates the certificate authority of a site, as ca.pem and ca.key. Keep ca.key"
                            + " secret.")
    static final class Init extends KeyDirectoryCommand {
        @Option(
                names = "--site",
                defaultValue = "thornferry",
                description = "Name of the site in the certificate; default: ${DEFAULT-VALUE}.")
        private String site;

        @Option(
                names = "--days",
                defaultValue = "3650",
                description = "Validity, in days; default: ${DEFAULT-VALUE}.")
        private int days;

        @Override
        public Integer call() throws IOException {
            keys().init(site, Duration.ofDays(days));
            System.out.println(keys().authority() + " created; valid for " + days + " days");
            return ExitCode.OK;
        }
    }

    /** Renews a certificate. */
    @Command(
            name = "renew",
            description =
                    "Renews a certificate for the same validity period and with the same key. The"
                            + " program that uses it must reload it.")
    static final class Renew extends KeyDirectoryCommand {
        @Parameters(paramLabel = "NAME", description = "Name under which it was issued.")
        private String name;

        @Override
        public Integer call() throws IOException {
            keys().renew(name);
            System.out.println(keys().certificate(name) + " renewed");
            return ExitCode.OK;
        }
    }
}
