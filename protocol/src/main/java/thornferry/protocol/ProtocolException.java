package thornferry.protocol;

/**
 * Thrown if a peer violates the protocol. The exception's message becomes the {@code message}
 * header of the ERROR frame sent to the peer.
 */
public final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1;
    private final String detail;

    public ProtocolException(String message) {
        this(message, "");
    }

    /**
     * @param detail body of the ERROR frame; empty for none
     */
    public ProtocolException(String message, String detail) {
        super(
                message, null, false,
                false); // no stack trace: a hostile peer can cause one exception per frame
        this.detail = detail;
    }

    /** Returns the body of the ERROR frame; empty for none. */
    public String detail() {
        return detail;
    }
}
