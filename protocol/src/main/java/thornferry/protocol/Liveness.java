package thornferry.protocol;

/**
 * Whether a peer that promised to be heard from every so often has fallen silent. Times are
 * microseconds; no clock.
 *
 * <p>Guards against condemning every peer at once after a pause of our own: when looks come much
 * later than they should, the time in which nobody looked is not held against the peer, whose
 * octets may wait unread.
 */
public final class Liveness {
    private final long expected;
    private final long lookEvery;
    private long heardAt;
    private long lookedAt;

    /**
     * @param interval what was agreed: the peer sends at least once in this time
     * @param margin what is allowed beyond it for delays on the way
     */
    public Liveness(long interval, long margin, long now) {
        this.expected = interval + margin;
        this.lookEvery = Math.max(1_000, expected / 4);
        this.heardAt = now;
        this.lookedAt = now;
    }

    /** How often {@link #silent} wants to be asked, in microseconds. */
    public long lookEvery() {
        return lookEvery;
    }

    /** Something was received at this time. */
    public void heard(long now) {
        heardAt = now;
    }

    /**
     * True once the peer was silent for longer than agreed, not counting time in which we stood
     * still.
     */
    public boolean silent(long now) {
        long late = now - lookedAt - lookEvery;
        if (late > lookEvery) {
            heardAt = Math.min(now, heardAt + late);
        }
        lookedAt = now;
        return now - heardAt > expected;
    }
}
