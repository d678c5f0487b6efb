package thornferry.state;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import thornferry.decisions.recovery.JournalRecord;

/** Writes a compacted journal file under a temporary name, while the active file is in use. */
final class SnapshotWriter {
    private static final int BUFFER_BYTES = 1 << 18;

    private final JournalFolder folder;
    private final String placer;
    private final Durability durability;

    /**
     * A compacted journal file that has no generation yet.
     *
     * @param path the temporary path of the file
     * @param output the open file; the receiver of the snapshot must close it
     */
    record PendingSnapshot(Path path, Storage.WritableFile output, long sizeBytes) {}

    SnapshotWriter(JournalFolder folder, String placer, Durability durability) {
        this.folder = folder;
        this.placer = placer;
        this.durability = durability;
    }

    /** Writes the header, the records and the entry of this incarnation, and forces the file. */
    PendingSnapshot write(Iterable<JournalRecord> records) throws IOException {
        Path path = folder.temporaryFile();
        Storage.WritableFile output = folder.storage().create(path);
        try {
            long sizeBytes = writeContents(records, output);
            output.force();
            return new PendingSnapshot(path, output, sizeBytes);
        } catch (IOException e) {
            output.close();
            throw e;
        }
    }

    private long writeContents(Iterable<JournalRecord> records, Storage.WritableFile output)
            throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream(BUFFER_BYTES);
        buffer.write(FrameFormat.magic());
        buffer.write(FrameFormat.header(placer));
        long writtenBytes = 0;
        for (JournalRecord journalRecord : records) {
            buffer.write(RecordCodec.frame(journalRecord));
            if (buffer.size() >= BUFFER_BYTES) {
                output.write(writtenBytes, buffer.toByteArray());
                writtenBytes += buffer.size();
                buffer.reset();
            }
        }
        buffer.write(JournalRecovery.incarnationFrame(durability));
        output.write(writtenBytes, buffer.toByteArray());
        return writtenBytes + buffer.size();
    }
}
