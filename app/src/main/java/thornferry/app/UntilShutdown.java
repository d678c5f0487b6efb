package thornferry.app;

import java.util.concurrent.CountDownLatch;

/** Runs a command in the foreground until its process is interrupted or terminated. */
final class UntilShutdown {
    private UntilShutdown() {}

    /**
     * Blocks until the JVM shuts down.
     *
     * @param close releases what the command runs, as part of the shutdown
     */
    static void await(Runnable close) throws InterruptedException {
        CountDownLatch closed = new CountDownLatch(1);
        Thread hook =
                new Thread(
                        () -> {
                            close.run();
                            closed.countDown();
                        });
        Runtime.getRuntime().addShutdownHook(hook);
        closed.await();
    }
}
