package thornferry.testbed.scenario;

import java.io.IOException;
import java.util.function.LongSupplier;

/**
 * The lines that a child process writes to its parent: one when it is ready, with the port on which
 * it listens, and one for each increase of its count of failures.
 */
final class ChildReports {
    /** The port of a child that does not listen. */
    static final int NO_PORT = 0;

    private static final String READY = "serves ";
    private static final String FAILURES = "failures ";
    private static final long FAILURES_INTERVAL_MILLIS = 500;

    private ChildReports() {}

    static boolean isReady(String line) {
        return line.startsWith(READY);
    }

    static int portOf(String readyLine) {
        return Integer.parseInt(readyLine.substring(READY.length()));
    }

    static boolean isFailures(String line) {
        return line.startsWith(FAILURES);
    }

    static long failuresOf(String failuresLine) {
        return Long.parseLong(failuresLine.substring(FAILURES.length()));
    }

    /**
     * In the child: reports that it is ready and then its failures, until the parent ends, which
     * ends this process.
     *
     * @param port on which the child listens, or {@link #NO_PORT}
     * @param failures the total count, which does not decrease
     */
    static void reportUntilParentEnds(int port, LongSupplier failures) throws InterruptedException {
        Thread watcher = new Thread(ChildReports::exitWhenParentEnds);
        watcher.setDaemon(true);
        watcher.start();
        System.out.println(READY + port);
        long reported = 0;
        while (true) {
            long count = failures.getAsLong();
            if (count > reported) {
                System.out.println(FAILURES + (count - reported));
                reported = count;
            }
            Thread.sleep(FAILURES_INTERVAL_MILLIS);
        }
    }

    /** The parent never writes to the pipe; the end of the pipe is the end of the parent. */
    private static void exitWhenParentEnds() {
        try {
            int read;
            do {
                read = System.in.read();
            } while (read >= 0);
        } catch (IOException e) {
            // a broken pipe has ended, too
        }
        Runtime.getRuntime().halt(0);
    }
}
