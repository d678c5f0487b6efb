package thornferry.protocol;

/**
 * A failure detector for one peer: the peer is silent if nothing was received from it for longer
 * than its heartbeat interval and a margin. The caller passes the current time.
 *
 * <p>After a pause of this process every peer would seem silent at the same time. So if a check
 * runs much later than scheduled, the delay does not count as silence: bytes from the peer may have
 * arrived and not been read yet.
 */
public final class Liveness {
    private final long maxSilenceMicros;
    private final long checkIntervalMicros;
    private long lastReceivedMicros;
    private long lastCheckMicros;

    /**
     * @param intervalMicros negotiated interval, in which the peer sends at least once
     * @param marginMicros time allowed beyond the interval, for delays of timers and the network
     */
    public Liveness(long intervalMicros, long marginMicros, long nowMicros) {
        this.maxSilenceMicros = intervalMicros + marginMicros;
        this.checkIntervalMicros = Math.max(1_000, maxSilenceMicros / 4);
        this.lastReceivedMicros = nowMicros;
        this.lastCheckMicros = nowMicros;
    }

    /** Returns the interval at which {@link #isSilent} must be called. */
    public long checkIntervalMicros() {
        return checkIntervalMicros;
    }

    /** Records that bytes of the peer were received. */
    public void received(long nowMicros) {
        lastReceivedMicros = nowMicros;
    }

    /**
     * Returns true if the peer was silent for longer than the interval and margin, not counting
     * pauses of this process.
     */
    public boolean isSilent(long nowMicros) {
        long checkDelayMicros = nowMicros - lastCheckMicros - checkIntervalMicros;
        if (checkDelayMicros > checkIntervalMicros) {
            lastReceivedMicros = Math.min(nowMicros, lastReceivedMicros + checkDelayMicros);
        }
        lastCheckMicros = nowMicros;
        return nowMicros - lastReceivedMicros > maxSilenceMicros;
    }
}
