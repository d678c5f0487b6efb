package thornferry.app;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.security.CertificateRequest;
import thornferry.security.Keys;

/** Issues a certificate; there is one subcommand for each use of certificates. */
abstract class KeysIssueCommand extends KeyDirectoryCommand {
    @Parameters(
            paramLabel = "NAME",
            description =
                    "Login of the account that the certificate authenticates; for a server, any"
                            + " name.")
    private String name;

    @Option(
            names = "--days",
            defaultValue = "365",
            description = "Validity, in days; default: ${DEFAULT-VALUE}.")
    private int days;

    /** Returns the use of the certificate. */
    abstract Keys.Use use();

    /** Returns the host names and IP addresses that the certificate is valid for. */
    List<String> hosts() {
        return List.of();
    }

    @Override
    public Integer call() throws IOException {
        Keys keys = keys();
        keys.issue(CertificateRequest.validNow(name, use(), hosts(), Duration.ofDays(days)));
        System.out.println(
                keys.certificate(name)
                        + " and "
                        + keys.key(name)
                        + " created; valid for "
                        + days
                        + " days");
        return ExitCode.OK;
    }

    /** Issues a certificate for a placer. */
    @Command(name = "server", description = "Issues a server certificate for a placer.")
    static final class Server extends KeysIssueCommand {
        @Option(
                names = "--host",
                split = ",",
                paramLabel = "<hosts>",
                defaultValue = "localhost,127.0.0.1",
                description =
                        "Host names and IP addresses that clients connect to; default:"
                                + " ${DEFAULT-VALUE}.")
        private List<String> hosts;

        @Override
        Keys.Use use() {
            return Keys.Use.SERVER;
        }

        @Override
        List<String> hosts() {
            return hosts;
        }
    }

    /** Issues a certificate for node agents. */
    @Command(
            name = "agent",
            description = "Issues a client certificate for a node agent's account.")
    static final class Agent extends KeysIssueCommand {
        @Override
        Keys.Use use() {
            return Keys.Use.AGENT;
        }
    }

    /** Issues a certificate for an owner of tasks. */
    @Command(name = "owner", description = "Issues a client certificate for an owner's account.")
    static final class Owner extends KeysIssueCommand {
        @Override
        Keys.Use use() {
            return Keys.Use.OWNER;
        }
    }

    /** Issues a certificate for an operator. */
    @Command(
            name = "operator",
            description = "Issues a client certificate for an operator's account.")
    static final class Operator extends KeysIssueCommand {
        @Override
        Keys.Use use() {
            return Keys.Use.OPERATOR;
        }
    }
}
