package thornferry.app;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.security.CertificateRequest;
import thornferry.security.Keys;

/** Issues a certificate; there is one command for each use of certificates. */
abstract class KeysIssueCommand extends KeyDirectoryCommand {
    @Parameters(paramLabel = "NAME", description = "The login it stands for; of a server any name.")
    private String name;

    @Option(names = "--days", defaultValue = "365", description = "${DEFAULT-VALUE}.")
    private int days;

    /** What the certificate is for. */
    abstract Keys.Use use();

    /** Names and addresses in the certificate. */
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
                        + " made; good for "
                        + days
                        + " days");
        return ExitCode.OK;
    }

    /** Issues a certificate for a placer. */
    @Command(name = "server", description = "A certificate for a placer.")
    static final class Server extends KeysIssueCommand {
        @Option(
                names = "--host",
                split = ",",
                paramLabel = "<hosts>",
                defaultValue = "localhost,127.0.0.1",
                description = "Names and addresses that clients dial; ${DEFAULT-VALUE}.")
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
    @Command(name = "agent", description = "A certificate for a node agent's account.")
    static final class Agent extends KeysIssueCommand {
        @Override
        Keys.Use use() {
            return Keys.Use.AGENT;
        }
    }

    /** Issues a certificate for an owner of tasks. */
    @Command(name = "owner", description = "A certificate for an owner's account.")
    static final class Owner extends KeysIssueCommand {
        @Override
        Keys.Use use() {
            return Keys.Use.OWNER;
        }
    }

    /** Issues a certificate for an operator. */
    @Command(name = "operator", description = "A certificate for an operator's account.")
    static final class Operator extends KeysIssueCommand {
        @Override
        Keys.Use use() {
            return Keys.Use.OPERATOR;
        }
    }
}
