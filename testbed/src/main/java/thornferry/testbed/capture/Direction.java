package thornferry.testbed.capture;

/** The direction in which a frame passes the recording proxy. */
public enum Direction {
    /** From a client or node to the placer. */
    TO_PLACER("up"),
    /** From the placer to a client or node. */
    FROM_PLACER("down");

    private final String captureName;

    Direction(String captureName) {
        this.captureName = captureName;
    }

    /** The value in a capture file. */
    public String captureName() {
        return captureName;
    }
}
