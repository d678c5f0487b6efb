package thornferry.protocol;

/**
 * One side's offer in the {@code heart-beat} header (specification, "Heart-beating"), in
 * milliseconds.
 *
 * @param sends how often this side can send; 0 for never
 * @param wants how often this side wishes to hear; 0 for not at all
 */
public record Heartbeat(int sends, int wants) {
    private static final int LONGEST = 3_600_000;

    public static final Heartbeat NONE = new Heartbeat(0, 0);

    /** Reads a header; a missing one counts as {@code 0,0}. */
    public static Heartbeat parse(String header) throws ProtocolException {
        if (header == null) {
            return NONE;
        }
        String[] parts = header.split(",", -1);
        try {
            if (parts.length == 2) {
                long sends = Long.parseLong(parts[0].trim());
                long wants = Long.parseLong(parts[1].trim());
                if (sends >= 0 && wants >= 0) {
                    return new Heartbeat(
                            (int) Math.min(LONGEST, sends), (int) Math.min(LONGEST, wants));
                }
            }
        } catch (NumberFormatException e) {
            // falls through to the message below
        }
        throw new ProtocolException(
                "heart-beat must be two numbers of milliseconds, not '" + header + "'");
    }

    /**
     * How often we send, given both offers: the larger of what we can and what the peer wants; 0
     * for never.
     */
    public int sendEvery(Heartbeat peer) {
        return sends == 0 || peer.wants == 0 ? 0 : Math.max(sends, peer.wants);
    }

    /** How often the peer sends, by the same rule. */
    public int hearEvery(Heartbeat peer) {
        return peer.sendEvery(this);
    }

    /** The value of the {@code heart-beat} header. */
    public String header() {
        return sends + "," + wants;
    }
}
