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
 * The layout of a journal file: the {@link #magic} bytes, a frame with the file's header, and one
 * frame for each entry. A frame consists of the length of its body (4 bytes, big-endian), the
 * CRC-32C of length and body (4 bytes, big-endian), and the body.
 */
final class FrameFormat {
    /** The version of the format, as written into the header. */
    static final int VERSION = 1;

    /** The size of the length and the checksum, which precede the body of a frame. */
    static final int FRAME_HEADER_BYTES = 8;

    /** The maximum length of a body; ids, keys and names have much lower limits. */
    static final int MAX_BODY_BYTES = 1 << 16;

    private static final byte[] MAGIC = {'T', 'F', 'J', '\n'};

    private FrameFormat() {}

    /** Returns the bytes that every journal file begins with. */
    static byte[] magic() {
        return MAGIC.clone();
    }

    /** Reads the first bytes of a file; returns false if the file is not a journal. */
    static boolean readMagic(DataInputStream input) throws IOException {
        return Arrays.equals(input.readNBytes(MAGIC.length), MAGIC);
    }

    /** Returns the frame with the header of a placer's journal. */
    static byte[] header(String placer) {
        return frame(Header.newBuilder().setVersion(VERSION).setPlacer(placer).build());
    }

    /** Returns the frame whose body is a message. */
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

    /**
     * Returns the checksum of length and body; without the length, zeros would be an empty frame.
     */
    private static int checksum(byte[] body) {
        CRC32C checksum = new CRC32C();
        checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, body.length));
        checksum.update(body, 0, body.length);
        return (int) checksum.getValue();
    }
}
