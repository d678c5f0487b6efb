package thornferry.testbed.capture;

/** The direction in which the recording proxy forwards a frame. */
public enum Direction {
    /** From a client or node to the placer. */
    TO_PLACER("up"),
    /** From the placer to a client or node. */
    FROM_PLACER("down");

    private final String captureName;

    Direction(String captureName) {
        this.captureName = captureName;
    }

    /** Returns the value that stands for this direction in a capture file. */
    public String captureName() {
        return captureName;
    }
}
