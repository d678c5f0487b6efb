package thornferry.decisions.requests;

/**
 * Thrown if the request of a client is invalid; the request then has no effect. The message is
 * meant for the client. There is no stack trace, as an invalid request is not a fault of the
 * placer.
 */
public final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidRequestException(String message) {
        super(message, null, false, false);
    }
}
