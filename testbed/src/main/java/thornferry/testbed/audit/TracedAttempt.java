package thornferry.testbed.audit;

/** One offer of a task to a node, and what a placer can know of it. Compared by identity. */
final class TracedAttempt {
    private final String id;
    private final TracedTask task;
    private final String node;
    private final long offeredAtMicros;
    private final long connection;
    private boolean provenNotRun;
    private boolean finished;
    private boolean accepted;
    private long acceptedAtMicros;
    private boolean settled;

    /**
     * @param connection number of the node's connection that the offer was sent on
     */
    TracedAttempt(String id, TracedTask task, String node, long offeredAtMicros, long connection) {
        this.id = id;
        this.task = task;
        this.node = node;
        this.offeredAtMicros = offeredAtMicros;
        this.connection = connection;
    }

    String id() {
        return id;
    }

    TracedTask task() {
        return task;
    }

    String node() {
        return node;
    }

    long offeredAtMicros() {
        return offeredAtMicros;
    }

    long connection() {
        return connection;
    }

    /** Whether it is proven that the node never ran it. */
    boolean isProvenNotRun() {
        return provenNotRun;
    }

    void proveNotRun() {
        provenNotRun = true;
    }

    /** Whether the placer has had its end, or has given it up. */
    boolean isFinished() {
        return finished;
    }

    void finish() {
        finished = true;
    }

    boolean isAccepted() {
        return accepted;
    }

    /** The node reports that it has taken the attempt. */
    void acceptAt(long nowMicros) {
        if (!accepted) {
            acceptedAtMicros = nowMicros;
        }
        accepted = true;
    }

    /** It turns out that the node took the attempt; when is not known. */
    void acceptEarlier() {
        accepted = true;
    }

    /** When the node's acceptance was recorded; zero if it was not. */
    long acceptedAtMicros() {
        return acceptedAtMicros;
    }

    /** Whether it was rejected, withdrawn or ended: an inventory without it proves nothing more. */
    boolean isSettled() {
        return settled;
    }

    void settle() {
        settled = true;
    }
}
