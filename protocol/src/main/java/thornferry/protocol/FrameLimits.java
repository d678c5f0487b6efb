package thornferry.protocol;

/**
 * Bounds of what a peer may send; beyond them it gets an ERROR and is cut off (specification, "Size
 * Limits").
 *
 * @param line octets of a header line
 * @param headers header lines of a frame
 * @param body octets of a body
 * @param unwritten octets that may wait to be written to a peer before it counts as a slow reader
 */
public record FrameLimits(int line, int headers, int body, int unwritten) {
    public static final FrameLimits USUAL = new FrameLimits(4096, 64, 1 << 20, 4 << 20);

    public FrameLimits {
        if (line < 64 || headers < 8 || body < 1024 || unwritten < 4096) {
            throw new IllegalArgumentException(
                    "frame limits too small: " + line + ", " + headers + ", " + body);
        }
    }
}
