package thornferry.state;

import com.google.protobuf.MessageLite;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32C;
import thornferry.state.v1.Header;

/**
 * The layout of a journal file: {@link #magic}, then frames, of which the first holds the file's
 * header and each other one entry. A frame is the length of its body (4 bytes, big-endian), the
 * CRC-32C of length and body (4 bytes), and the body.
 */
final class FrameFormat {
    /** The version of the format, as written into the header. */
    static final int VERSION = 1;

    /** Length and checksum before the body of a frame. */
    static final int FRAME_HEADER_BYTES = 8;

    /** No body is longer: ids, keys and names have much smaller limits of their own. */
    static final int MAX_BODY_BYTES = 1 << 16;

    private static final byte[] MAGIC = {'T', 'F', 'J', '\n'};

    private FrameFormat() {}

    /** The bytes that every journal file begins with. */
    static byte[] magic() {
        return MAGIC.clone();
    }

    /** Reads the beginning of a file; false if it is not that of a journal. */
    static boolean readMagic(DataInputStream input) throws IOException {
        return Arrays.equals(input.readNBytes(MAGIC.length), MAGIC);
    }

    /** The framed header of a placer's journal. */
    static byte[] header(String placer) {
        return frame(Header.newBuilder().setVersion(VERSION).setPlacer(placer).build());
    }

    static byte[] frame(MessageLite message) {
        byte[] body = message.toByteArray();
        ByteBuffer frame = ByteBuffer.allocate(FRAME_HEADER_BYTES + body.length);
        frame.putInt(body.length);
        frame.putInt(checksum(body));
        frame.put(body);
        return frame.array();
    }

    /** Reads the body of the next frame; empty if no intact frame follows. */
    static Optional<byte[]> readBody(DataInputStream input) throws IOException {
        try {
            int length = input.readInt();
            int checksum = input.readInt();
            if (length < 0 || length > MAX_BODY_BYTES) {
                return Optional.empty();
            }
            byte[] body = input.readNBytes(length);
            boolean intact = body.length == length && checksum(body) == checksum;
            return intact ? Optional.of(body) : Optional.empty();
        } catch (EOFException e) {
            return Optional.empty();
        }
    }

    /** Covers the length too, so that a run of zeros is not an intact, empty frame. */
    private static int checksum(byte[] body) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, body.length));
        checksum.update(body, 0, body.length);
        return (int) checksum.getValue();
    }
}
