package thornferry.protocol;

/**
 * A violation of the protocol by a peer. The message goes into the {@code message} header of the
 * ERROR frame that the peer gets.
 */
public final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1;
    private final String detail;

    public ProtocolException(String message) {
        this(message, "");
    }

    /**
     * @param detail goes into the body of the ERROR frame
     */
    public ProtocolException(String message, String detail) {
        super(
                message, null, false,
                false); // thrown for each bad frame of a hostile peer: no stack is kept
        this.detail = detail;
    }

    /** More about the error, for the body of an ERROR frame; empty for none. */
    public String detail() {
        return detail;
    }
}
