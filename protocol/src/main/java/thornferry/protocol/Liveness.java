package thornferry.protocol;

/**
 * Detects that a peer has been silent for longer than its heartbeat allows. Reads no clock.
 *
 * <p>After a pause of this process every peer would seem silent at once. So if checks come much
 * later than scheduled, the time without checks does not count: the peer's bytes may wait unread.
 */
public final class Liveness {
    private final long maxSilenceMicros;
    private final long checkIntervalMicros;
    private long receivedAtMicros;
    private long checkedAtMicros;

    /**
     * @param intervalMicros what was agreed: the peer sends at least once in this time
     * @param marginMicros what is allowed beyond it for delays on the way
     */
    public Liveness(long intervalMicros, long marginMicros, long nowMicros) {
        this.maxSilenceMicros = intervalMicros + marginMicros;
        this.checkIntervalMicros = Math.max(1_000, maxSilenceMicros / 4);
        this.receivedAtMicros = nowMicros;
        this.checkedAtMicros = nowMicros;
    }

    /** How often {@link #isSilent} is to be called. */
    public long checkIntervalMicros() {
        return checkIntervalMicros;
    }

    /** Something was received at this time. */
    public void received(long nowMicros) {
        receivedAtMicros = nowMicros;
    }

    /**
     * Whether the peer was silent for longer than negotiated, not counting pauses of this process.
     */
    public boolean isSilent(long nowMicros) {
        long lateMicros = nowMicros - checkedAtMicros - checkIntervalMicros;
        if (lateMicros > checkIntervalMicros) {
            receivedAtMicros = Math.min(nowMicros, receivedAtMicros + lateMicros);
        }
        checkedAtMicros = nowMicros;
        return nowMicros - receivedAtMicros > maxSilenceMicros;
    }
}
