package thornferry.state;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.v1.Header;
import thornferry.state.v1.Life;
import thornferry.state.v1.Line;

/**
 * What stands in one journal file: its lines up to the first that is not whole. Read piece by
 * piece, so that a file of any size costs no more memory than its good lines.
 *
 * @param placer whose it is; empty where that cannot be read
 * @param complete nothing is lacking but, at most, a last line that was being written
 * @param problem what is wrong, empty for nothing; with {@code foreign} the lines are not ours to
 *     use
 * @param foreign of another placer, of a later version, or no journal at all
 * @param lastIncarnation the last start of a placer with it; null where there was none
 * @param validBytes octets up to the end of the last whole line
 */
public record JournalContents(
        String placer,
        List<JournalRecord> records,
        boolean complete,
        boolean foreign,
        String problem,
        Life lastIncarnation,
        long validBytes) {
    static final int VERSION = 1;
    static final byte[] MAGIC = {'T', 'F', 'J', '\n'};

    /**
     * @param placer whose journal it must be; null for anyone's
     */
    public static JournalContents of(Path file, String placer) throws IOException {
        return of(Storage.SYSTEM, file, placer);
    }

    static JournalContents of(Storage storage, Path file, String placer) throws IOException {
        List<JournalRecord> promises = new ArrayList<>();
        Life last = null;
        long good = MAGIC.length;
        long size = storage.size(file);
        try (DataInputStream in =
                new DataInputStream(new BufferedInputStream(storage.read(file), 1 << 16))) {
            byte[] magic = in.readNBytes(MAGIC.length);
            byte[] first = java.util.Arrays.equals(magic, MAGIC) ? next(in) : null;
            if (first == null) {
                return foreign("is no journal");
            }
            Header header = Header.parseFrom(first);
            if (header.getVersion() != VERSION) {
                return foreign(
                        "is of version " + header.getVersion() + "; this program reads " + VERSION);
            }
            if (placer != null && !header.getPlacer().equals(placer)) {
                return foreign("is that of placer " + header.getPlacer() + ", not of " + placer);
            }
            good += RecordCodec.HEADER_BYTES + first.length;
            while (good < size) {
                byte[] body = next(in);
                if (body == null) {
                    boolean torn = restIsNoLine(in);
                    return new JournalContents(
                            header.getPlacer(),
                            promises,
                            torn,
                            false,
                            (torn ? "its last line was not whole and is cut off" : "is damaged")
                                    + " at octet "
                                    + good
                                    + " of "
                                    + size,
                            last,
                            good);
                }
                Line line = Line.parseFrom(body);
                if (line.hasLife()) {
                    last = line.getLife();
                } else {
                    promises.add(RecordCodec.decode(line));
                }
                good += RecordCodec.HEADER_BYTES + body.length;
            }
            return new JournalContents(header.getPlacer(), promises, true, false, "", last, good);
        } catch (InvalidProtocolBufferException e) {
            return foreign(e.getMessage());
        }
    }

    private static JournalContents foreign(String why) {
        return new JournalContents("", List.of(), false, true, why, null, 0);
    }

    /** The next body, or null where no whole line follows. */
    private static byte[] next(DataInputStream in) throws IOException {
        try {
            int length = in.readInt();
            int crc = in.readInt();
            if (length < 0 || length > RecordCodec.MAX_BODY_BYTES) {
                return null;
            }
            byte[] body = in.readNBytes(length);
            return body.length == length && RecordCodec.crc(body, 0, length) == crc ? body : null;
        } catch (EOFException e) {
            return null;
        }
    }

    /**
     * After a line that is not whole: whether nothing of any worth follows. A kill leaves at most
     * one unfinished line, a power loss may leave a piece of zeros; more than that is damage, and
     * lines behind it may be lost.
     */
    private static boolean restIsNoLine(DataInputStream in) throws IOException {
        byte[] rest = in.readNBytes(RecordCodec.MAX_BODY_BYTES + 1);
        if (rest.length > RecordCodec.MAX_BODY_BYTES) {
            return false;
        }
        for (byte b : rest) {
            if (b != 0) {
                return false;
            }
        }
        return true;
    }
}
