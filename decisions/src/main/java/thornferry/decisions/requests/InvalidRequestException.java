package thornferry.decisions.requests;

/**
 * A client's request that cannot be accepted, with a message for the client; nothing has changed.
 * It carries no stack trace, as it is an ordinary answer.
 */
public final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidRequestException(String message) {
        super(message, null, false, false);
    }
}
