package thornferry.app;

import java.io.IOException;
import java.time.Duration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Groups the commands on a site's certificates and passcodes. */
@Command(
        name = "keys",
        description = "A site's certificates, and hashes of passcodes.",
        footer = {
            "",
            "Example:",
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
            description = "Make the site's authority: ca.pem and ca.key. Guard the key.")
    static final class Init extends KeyDirectoryCommand {
        @Option(names = "--site", defaultValue = "thornferry")
        private String site;

        @Option(names = "--days", defaultValue = "3650")
        private int days;

        @Override
        public Integer call() throws IOException {
            keys().init(site, Duration.ofDays(days));
            System.out.println(keys().authority() + " made; good for " + days + " days");
            return ExitCode.OK;
        }
    }

    /** Issues a certificate again. */
    @Command(
            name = "renew",
            description =
                    "The same certificate anew, for as long as before; its key stays. Then reload.")
    static final class Renew extends KeyDirectoryCommand {
        @Parameters(paramLabel = "NAME")
        private String name;

        @Override
        public Integer call() throws IOException {
            keys().renew(name);
            System.out.println(keys().certificate(name) + " renewed");
            return ExitCode.OK;
        }
    }
}
