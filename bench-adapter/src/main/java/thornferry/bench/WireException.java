package thornferry.bench;

/** A message that the specification of the wire does not allow; says what was wrong with it. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1;

    WireException(String message) {
        super(message);
    }
}
