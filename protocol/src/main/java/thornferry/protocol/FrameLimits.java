package thornferry.protocol;

/**
 * Bounds of what a peer may send; beyond them it gets an ERROR and is disconnected (specification,
 * "Size Limits").
 *
 * @param maxHeaderLineBytes bytes of a header line
 * @param maxHeaders header lines of a frame
 * @param maxBodyBytes bytes of a body
 * @param maxUnwrittenBytes bytes that may wait to be written to a peer before it counts as a slow
 *     reader
 */
public record FrameLimits(
        int maxHeaderLineBytes, int maxHeaders, int maxBodyBytes, int maxUnwrittenBytes) {
    public static final FrameLimits DEFAULTS = new FrameLimits(4096, 64, 1 << 20, 4 << 20);

    public FrameLimits {
        if (maxHeaderLineBytes < 64
                || maxHeaders < 8
                || maxBodyBytes < 1024
                || maxUnwrittenBytes < 4096) {
            throw new IllegalArgumentException(
                    "frame limits too small: "
                            + maxHeaderLineBytes
                            + ", "
                            + maxHeaders
                            + ", "
                            + maxBodyBytes);
        }
    }
}
