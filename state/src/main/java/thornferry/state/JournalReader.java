package thornferry.state;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.v1.Entry;
import thornferry.state.v1.Header;
import thornferry.state.v1.Incarnation;

/**
 * Reads one journal file. The file is streamed, so that the memory in use is limited to the intact
 * records, whatever the size of the file.
 */
final class JournalReader {
    private static final int READ_BUFFER_BYTES = 1 << 16;

    private final DataInputStream input;
    private final long fileBytes;
    private final List<JournalRecord> records = new ArrayList<>();
    private Incarnation lastIncarnation; // null until an incarnation was read
    private long validBytes;

    private JournalReader(DataInputStream input, long fileBytes) {
        this.input = input;
        this.fileBytes = fileBytes;
    }

    /**
     * Reads a file up to its first entry that is not intact.
     *
     * @param expectedPlacer the instance that must have written the journal; empty if any may have
     */
    static JournalContents read(Storage storage, Path file, Optional<String> expectedPlacer)
            throws IOException {
        long fileBytes = storage.size(file);
        try (DataInputStream input =
                new DataInputStream(
                        new BufferedInputStream(storage.read(file), READ_BUFFER_BYTES))) {
            return new JournalReader(input, fileBytes).read(expectedPlacer);
        } catch (InvalidProtocolBufferException e) {
            return JournalContents.foreign(e.getMessage());
        }
    }

    private JournalContents read(Optional<String> expectedPlacer) throws IOException {
        Optional<byte[]> headerBody =
                FrameFormat.readMagic(input) ? FrameFormat.readBody(input) : Optional.empty();
        if (headerBody.isEmpty()) {
            return JournalContents.foreign("is not a journal file");
        }
        Header header = Header.parseFrom(headerBody.get());
        Optional<String> mismatch = mismatch(header, expectedPlacer);
        if (mismatch.isPresent()) {
            return JournalContents.foreign(mismatch.get());
        }
        validBytes = FrameFormat.magic().length;
        addFrameSize(headerBody.get());
        while (validBytes < fileBytes) {
            Optional<byte[]> body = FrameFormat.readBody(input);
            if (body.isEmpty()) {
                return contentsBeforeDamage(header.getPlacer());
            }
            add(Entry.parseFrom(body.get()));
            addFrameSize(body.get());
        }
        return contents(header.getPlacer(), true, "");
    }

    /** Returns why the file is not a journal of this version and placer; empty if it is one. */
    private static Optional<String> mismatch(Header header, Optional<String> expectedPlacer) {
        if (header.getVersion() != FrameFormat.VERSION) {
            return Optional.of(
                    "has format version "
                            + header.getVersion()
                            + "; this program reads version "
                            + FrameFormat.VERSION);
        }
        return expectedPlacer
                .filter(placer -> !header.getPlacer().equals(placer))
                .map(placer -> "belongs to placer " + header.getPlacer() + ", not to " + placer);
    }

    private void addFrameSize(byte[] body) {
        validBytes += FrameFormat.FRAME_HEADER_BYTES + body.length;
    }

    private void add(Entry entry) throws InvalidProtocolBufferException {
        if (entry.hasIncarnation()) {
            lastIncarnation = entry.getIncarnation();
        } else {
            records.add(RecordCodec.decode(entry));
        }
    }

    /** Returns the contents before a frame that is not intact: a torn last write, or damage. */
    private JournalContents contentsBeforeDamage(String placer) throws IOException {
        boolean torn = onlyZerosFollow();
        String damage = torn ? "its last line was not whole and is cut off" : "is damaged";
        return contents(placer, torn, damage + " at octet " + validBytes + " of " + fileBytes);
    }

    /**
     * Returns whether the rest of the file, after a frame that is not intact, consists of zeros and
     * is no longer than the body of a frame. Killing the process leaves at most one unfinished
     * frame, and a power loss may leave a run of zeros. Anything else is damage, and entries after
     * it may be lost.
     */
    private boolean onlyZerosFollow() throws IOException {
        byte[] rest = input.readNBytes(FrameFormat.MAX_BODY_BYTES + 1);
        if (rest.length > FrameFormat.MAX_BODY_BYTES) {
            return false;
        }
        for (byte value : rest) {
            if (value != 0) {
                return false;
            }
        }
        return true;
    }

    private JournalContents contents(String placer, boolean complete, String problem) {
        return new JournalContents(
                placer, records, complete, false, problem, lastIncarnation, validBytes);
    }
}
