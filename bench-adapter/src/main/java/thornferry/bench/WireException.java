package thornferry.bench;

/** Thrown if the simulator's input violates its protocol; the message says how. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1;

    WireException(String message) {
        super(message);
    }
}
