package thornferry.protocol;

/**
 * Handles the events of sessions. A {@link ProtocolException} rejects the frame: the peer receives
 * an ERROR and is disconnected.
 */
public interface SessionHandler {
    /**
     * Called when the peer logs in. The handler replies by {@link ServerSession#admit} or {@link
     * ServerSession#fail}, immediately or later, on the connection's event loop.
     *
     * @param login null if the peer sent none
     * @param passcode null if the peer sent none
     */
    void connecting(ServerSession session, String login, String passcode);

    /** Processes a SEND frame; when this method returns, the receipt of the frame is sent. */
    void sent(ServerSession session, String destination, Frame frame) throws ProtocolException;

    /** Called when the peer subscribes to a destination. */
    void subscribed(ServerSession session, String id, String destination) throws ProtocolException;

    /** Called when the peer has ended its subscription to a destination. */
    void unsubscribed(ServerSession session, String destination);

    /**
     * Called when the peer acknowledges a message.
     *
     * @param positive true for an ACK, false for a NACK
     */
    void acknowledged(ServerSession session, String messageId, boolean positive);

    /** Called once for each admitted session when its connection is closed, with the reason. */
    void closed(ServerSession session, String reason);
}
