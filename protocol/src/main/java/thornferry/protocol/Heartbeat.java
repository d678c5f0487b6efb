package thornferry.protocol;

/**
 * One side's offer in the {@code heart-beat} header (specification, "Heart-beating"), in
 * milliseconds.
 *
 * @param sendIntervalMillis how often this side can send; 0 for never
 * @param receiveIntervalMillis how often this side wants the peer to send; 0 for never
 */
public record Heartbeat(int sendIntervalMillis, int receiveIntervalMillis) {
    private static final int MAX_INTERVAL_MILLIS = 3_600_000;

    public static final Heartbeat NONE = new Heartbeat(0, 0);

    /** Reads a header; a missing one counts as {@code 0,0}. */
    public static Heartbeat parse(String header) throws ProtocolException {
        if (header == null) {
            return NONE;
        }
        String[] parts = header.split(",", -1);
        try {
            if (parts.length == 2) {
                long sendMillis = Long.parseLong(parts[0].trim());
                long receiveMillis = Long.parseLong(parts[1].trim());
                if (sendMillis >= 0 && receiveMillis >= 0) {
                    return new Heartbeat(
                            (int) Math.min(MAX_INTERVAL_MILLIS, sendMillis),
                            (int) Math.min(MAX_INTERVAL_MILLIS, receiveMillis));
                }
            }
        } catch (NumberFormatException e) {
            // falls through to the message below
        }
        throw new ProtocolException(
                "heart-beat must be two numbers of milliseconds, not '" + header + "'");
    }

    /**
     * How often this side sends, given both offers: the larger of its own interval and the peer's
     * wish; 0 for never.
     */
    public int negotiatedSendMillis(Heartbeat peer) {
        return sendIntervalMillis == 0 || peer.receiveIntervalMillis == 0
                ? 0
                : Math.max(sendIntervalMillis, peer.receiveIntervalMillis);
    }

    /** How often the peer sends, by the same rule. */
    public int negotiatedReceiveMillis(Heartbeat peer) {
        return peer.negotiatedSendMillis(this);
    }

    /** The value of the {@code heart-beat} header. */
    public String header() {
        return sendIntervalMillis + "," + receiveIntervalMillis;
    }
}
