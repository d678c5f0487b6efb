package thornferry.app;

import java.util.concurrent.CountDownLatch;

/** Blocks a command that runs in the foreground until the JVM shuts down. */
final class JvmShutdown {
    private JvmShutdown() {}

    /**
     * Blocks until the JVM shuts down because of an interrupt or a termination signal.
     *
     * @param cleanup releases the command's resources; runs in a shutdown hook
     */
    static void await(Runnable cleanup) throws InterruptedException {
        CountDownLatch cleanedUp = new CountDownLatch(1);
        Thread hook =
                new Thread(
                        () -> {
                            cleanup.run();
                            cleanedUp.countDown();
                        });
        Runtime.getRuntime().addShutdownHook(hook);
        cleanedUp.await();
    }
}
