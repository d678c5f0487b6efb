package thornferry.app;

import java.io.Console;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.security.CertificateStatus;
import thornferry.security.Keys;
import thornferry.security.Passcodes;

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
            KeysCommand.Server.class,
            KeysCommand.Agent.class,
            KeysCommand.Owner.class,
            KeysCommand.Operator.class,
            KeysCommand.Show.class,
            KeysCommand.Renew.class,
            KeysCommand.Passcode.class
        })
final class KeysCommand extends Main.Group {
    /** What all commands on certificates share. */
    abstract static class InDirectory implements Callable<Integer> {
        @Option(
                names = "--dir",
                defaultValue = "keys",
                description = "Where the files are; ${DEFAULT-VALUE}.")
        Path directory;

        Keys keys() {
            return new Keys(directory);
        }
    }

    @Command(
            name = "init",
            description = "Make the site's authority: ca.pem and ca.key. Guard the key.")
    static final class Init extends InDirectory {
        @Option(names = "--site", defaultValue = "thornferry")
        String site;

        @Option(names = "--days", defaultValue = "3650")
        int days;

        @Override
        public Integer call() throws IOException {
            keys().init(site, Duration.ofDays(days));
            System.out.println(keys().authority() + " made; good for " + days + " days");
            return 0;
        }
    }

    abstract static class Issue extends InDirectory {
        @Parameters(
                paramLabel = "NAME",
                description = "The login it stands for; of a server any name.")
        String name;

        @Option(names = "--days", defaultValue = "365", description = "${DEFAULT-VALUE}.")
        int days;

        int issue(Keys.Use use, List<String> hosts) throws IOException {
            keys().issue(name, use, hosts, Duration.ofDays(days));
            System.out.println(
                    keys().certificate(name)
                            + " and "
                            + keys().key(name)
                            + " made; good for "
                            + days
                            + " days");
            return 0;
        }
    }

    @Command(name = "server", description = "A certificate for a placer.")
    static final class Server extends Issue {
        @Option(
                names = "--host",
                split = ",",
                defaultValue = "localhost,127.0.0.1",
                description = "Names and addresses that clients dial; ${DEFAULT-VALUE}.")
        List<String> hosts;

        @Override
        public Integer call() throws IOException {
            return issue(Keys.Use.SERVER, hosts);
        }
    }

    @Command(name = "agent", description = "A certificate for a node agent's account.")
    static final class Agent extends Issue {
        @Override
        public Integer call() throws IOException {
            return issue(Keys.Use.AGENT, List.of());
        }
    }

    @Command(name = "owner", description = "A certificate for an owner's account.")
    static final class Owner extends Issue {
        @Override
        public Integer call() throws IOException {
            return issue(Keys.Use.OWNER, List.of());
        }
    }

    @Command(name = "operator", description = "A certificate for an operator's account.")
    static final class Operator extends Issue {
        @Override
        public Integer call() throws IOException {
            return issue(Keys.Use.OPERATOR, List.of());
        }
    }

    @Command(
            name = "renew",
            description =
                    "The same certificate anew, for as long as before; its key stays. Then reload.")
    static final class Renew extends InDirectory {
        @Parameters(paramLabel = "NAME")
        String name;

        @Override
        public Integer call() throws IOException {
            keys().renew(name);
            System.out.println(keys().certificate(name) + " renewed");
            return 0;
        }
    }

    @Command(
            name = "show",
            description =
                    "All certificates and when they expire. Exit code 1 where one has, or soon"
                            + " will.")
    static final class Show extends InDirectory {
        @Option(names = "--soon-days", defaultValue = "30", description = "${DEFAULT-VALUE}.")
        int soon;

        @Override
        public Integer call() throws IOException {
            boolean good = true;
            System.out.printf(
                    "%-20s %-10s %-17s %-17s %s%n", "NAME", "FOR", "FROM", "UNTIL", "STATE");
            DateTimeFormatter time =
                    DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm").withZone(ZoneOffset.UTC);
            for (CertificateStatus e : keys().list()) {
                boolean expired = e.left().isNegative();
                boolean late = e.left().compareTo(Duration.ofDays(soon)) < 0;
                String state =
                        !e.signedByAuthority()
                                ? "not signed by this authority"
                                : expired
                                        ? "EXPIRED"
                                        : e.left().toDays()
                                                + " days left"
                                                + (late ? ", renew it" : "");
                good &= e.signedByAuthority() && !late;
                System.out.printf(
                        "%-20s %-10s %-17s %-17s %s%n",
                        e.name(),
                        e.use(),
                        time.format(e.notBefore()),
                        time.format(e.notAfter()),
                        state);
            }
            return good ? 0 : Main.FAILED;
        }
    }

    @Command(
            name = "passcode",
            description =
                    "Hash a passcode for passcode-hash; read from the terminal or standard input.")
    static final class Passcode implements Callable<Integer> {
        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            Console console = System.console();
            String passcode =
                    console != null
                            ? new String(console.readPassword("passcode: "))
                            : new String(System.in.readAllBytes(), StandardCharsets.UTF_8).strip();
            if (passcode.isEmpty() || passcode.length() > Passcodes.MOST_LENGTH) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "a passcode has 1 to " + Passcodes.MOST_LENGTH + " characters");
            }
            System.out.println(Passcodes.hash(passcode));
            return 0;
        }
    }
}
