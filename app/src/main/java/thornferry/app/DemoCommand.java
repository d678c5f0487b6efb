package thornferry.app;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a placer and emulated nodes in one process, for trying out the other commands. */
@Command(
        name = "demo",
        description =
                "Runs a placer and three emulated nodes on the loopback interface until"
                        + " interrupted.",
        footer = {"", "Example:", "  thornferry demo --port 61613"})
final class DemoCommand implements Callable<Integer> {
    private static final String DEFAULT_PORT = "61613";

    private static final String INTRODUCTION =
            """
            A placer listens on 127.0.0.1:%1$d (STOMP 1.2, login and passcode demo) with three emulated nodes.
            Commands to try in another terminal:
              bin/thornferry nodes%2$s
              bin/thornferry submit%2$s --class gauge-relay
              bin/thornferry submit%2$s --class depot-sync --key depot-7 --follow
              bin/thornferry submit%2$s --class levy-run --cores 10 --memory 20 --json
              bin/thornferry drain%2$s node-2
            Press Ctrl-C to stop.\
            """;

    @Option(
            names = "--port",
            defaultValue = DEFAULT_PORT,
            description = "TCP port of the placer, 0 for any free port; default: ${DEFAULT-VALUE}.")
    private int port;

    @Override
    public Integer call() throws Exception {
        DemoCluster cluster = DemoCluster.start(port);
        System.out.println(introduction(cluster.address().getPort()));
        System.out.flush();
        JvmShutdown.await(cluster::close);
        return ExitCode.OK;
    }

    private static String introduction(int actualPort) {
        boolean isDefault = Integer.toString(actualPort).equals(DEFAULT_PORT);
        return INTRODUCTION.formatted(actualPort, isDefault ? "" : " --port " + actualPort);
    }
}
