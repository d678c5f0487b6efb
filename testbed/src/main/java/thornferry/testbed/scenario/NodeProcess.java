package thornferry.testbed.scenario;

import java.io.IOException;
import java.time.Duration;
import thornferry.testbed.capture.Capture;

/** A process with the nodes of some zones. */
final class NodeProcess implements RestartableProcess, AutoCloseable {
    private static final String KILL_MARK = "nodes-killed";

    private final ChildArguments.Nodes arguments;
    private final Capture capture;
    private volatile ChildProcess process;

    private NodeProcess(ChildArguments.Nodes arguments, Capture capture, ChildProcess process) {
        this.arguments = arguments;
        this.capture = capture;
        this.process = process;
    }

    static NodeProcess start(ChildArguments.Nodes arguments, Capture capture) throws IOException {
        return new NodeProcess(arguments, capture, startProcess(arguments));
    }

    private static ChildProcess startProcess(ChildArguments.Nodes arguments) throws IOException {
        return ChildProcess.start(arguments, failures -> {});
    }

    @Override
    public String name() {
        return "nodes " + arguments.number();
    }

    @Override
    public boolean hasServedFor(Duration minUptime) {
        return process.hasServedFor(minUptime);
    }

    @Override
    public void kill() {
        process.kill();
        capture.writeMark(KILL_MARK, "");
    }

    @Override
    public void restart() throws IOException {
        process = startProcess(arguments.afterKill());
    }

    /** Kills the process, without a record. */
    @Override
    public void close() {
        process.kill();
    }
}
