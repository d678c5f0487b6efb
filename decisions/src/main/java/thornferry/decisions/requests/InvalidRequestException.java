package thornferry.decisions.requests;

/** A wish that cannot be taken; nothing has changed. */
public final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidRequestException(String message) {
        super(message, null, false, false);
    }
}
