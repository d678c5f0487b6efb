package thornferry.protocol;

/**
 * The heartbeat intervals that one side proposes in its {@code heart-beat} header (specification,
 * "Heart-beating").
 *
 * @param sendIntervalMillis shortest interval at which this side can send; 0 for never
 * @param receiveIntervalMillis interval at which this side wants the peer to send; 0 for never
 */
public record Heartbeat(int sendIntervalMillis, int receiveIntervalMillis) {
    private static final int MAX_INTERVAL_MILLIS = 3_600_000;

    public static final Heartbeat NONE = new Heartbeat(0, 0);

    /** Parses a header value; null, for a missing header, counts as {@code 0,0}. */
    public static Heartbeat parse(String headerValue) throws ProtocolException {
        if (headerValue == null) {
            return NONE;
        }
        String[] parts = headerValue.split(",", -1);
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
            // the exception below is thrown instead
        }
        throw new ProtocolException(
                "heart-beat must be two numbers of milliseconds, not '" + headerValue + "'");
    }

    /**
     * Returns the interval at which this side sends: the larger of the interval it proposed and the
     * one the peer wants; 0 for never.
     */
    public int negotiatedSendMillis(Heartbeat peer) {
        return sendIntervalMillis == 0 || peer.receiveIntervalMillis == 0
                ? 0
                : Math.max(sendIntervalMillis, peer.receiveIntervalMillis);
    }

    /** Returns the interval at which the peer sends, by the same rule; 0 for never. */
    public int negotiatedReceiveMillis(Heartbeat peer) {
        return peer.negotiatedSendMillis(this);
    }

    /** Returns the value of the {@code heart-beat} header. */
    public String header() {
        return sendIntervalMillis + "," + receiveIntervalMillis;
    }
}
