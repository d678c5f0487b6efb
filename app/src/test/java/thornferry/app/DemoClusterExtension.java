package thornferry.app;

import java.util.stream.Stream;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Starts a demo cluster for the tests of a class and runs commands against it. */
final class DemoClusterExtension implements BeforeAllCallback, AfterAllCallback {
    private static final int MAX_POLLS = 100;
    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final String LAST_NODE = "node-3";

    private DemoCluster cluster;

    @Override
    public void beforeAll(ExtensionContext context) throws Exception {
        Logging.setFormat(LogFormat.text);
        Logging.setLevel("error");
        cluster = DemoCluster.start(0);
        for (int i = 0; i < MAX_POLLS && !run("nodes").out().contains(LAST_NODE); i++) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    @Override
    public void afterAll(ExtensionContext context) {
        cluster.close();
    }

    String port() {
        return Integer.toString(cluster.address().getPort());
    }

    /** Runs a command against the cluster. */
    CommandResult run(String command, String... args) {
        return CommandRunner.run(withPort(command, args));
    }

    /** Starts a command against the cluster in a new thread without capturing its output. */
    Thread runInBackground(String command, String... args) {
        return CommandRunner.runInBackground(withPort(command, args));
    }

    private String[] withPort(String command, String... args) {
        return Stream.concat(Stream.of(command, "--port", port()), Stream.of(args))
                .toArray(String[]::new);
    }
}
