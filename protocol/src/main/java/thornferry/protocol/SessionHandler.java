package thornferry.protocol;

/**
 * Handles the events of sessions. An exception rejects the frame: the peer gets an ERROR and is
 * disconnected.
 */
public interface SessionHandler {
    /**
     * The peer logs in. {@code login} and {@code passcode} are null if it sent none. The answer may
     * come later, on the connection's event loop: {@link ServerSession#admit} or {@link
     * ServerSession#fail}.
     */
    void connecting(ServerSession session, String login, String passcode);

    /** A SEND. When it returns, the frame is processed and its receipt is sent. */
    void sent(ServerSession session, String destination, Frame frame) throws ProtocolException;

    /** The peer subscribes to a destination. */
    void subscribed(ServerSession session, String id, String destination) throws ProtocolException;

    /** The peer ends its subscription to a destination. */
    void unsubscribed(ServerSession session, String destination);

    /** An ACK ({@code good}) or NACK for the message of that id. */
    void acknowledged(ServerSession session, String messageId, boolean good);

    /** The connection is closed, for the reason given. Called once for each admitted session. */
    void closed(ServerSession session, String why);
}
