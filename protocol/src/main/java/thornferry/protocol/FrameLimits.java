package thornferry.protocol;

/**
 * The limits for the frames of a peer. A peer that exceeds a limit receives an ERROR and is
 * disconnected (specification, "Size Limits").
 *
 * @param maxHeaderLineBytes maximum length of a header line
 * @param maxHeaders maximum number of header lines of a frame
 * @param maxBodyBytes maximum length of a body
 * @param maxUnwrittenBytes outbound bytes that may be buffered for a peer; beyond them the peer is
 *     treated as a slow reader
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
                    "frame limits below the minimum (header line 64 bytes, 8 headers, body 1024"
                            + " bytes, 4096 unwritten bytes): header line "
                            + maxHeaderLineBytes
                            + " bytes, headers "
                            + maxHeaders
                            + ", body bytes "
                            + maxBodyBytes);
        }
    }
}
