package thornferry.state;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import thornferry.decisions.recovery.JournalRecord;

/** Writes a compacted journal under a temporary name, beside the active file. */
final class SnapshotWriter {
    private static final int WRITE_BYTES = 1 << 18;

    private final JournalFolder folder;
    private final String placer;
    private final Durability durability;

    /**
     * A compacted journal that has no generation yet.
     *
     * @param output open; whoever takes the snapshot closes it
     */
    record PendingSnapshot(Path path, Storage.WritableFile output, long sizeBytes) {}

    SnapshotWriter(JournalFolder folder, String placer, Durability durability) {
        this.folder = folder;
        this.placer = placer;
        this.durability = durability;
    }

    /** Writes header, records and the entry of this incarnation, and forces the file. */
    PendingSnapshot write(Iterable<JournalRecord> records) throws IOException {
        Path path = folder.temporaryFile();
        Storage.WritableFile output = folder.storage().create(path);
        try {
            long sizeBytes = write(records, output);
            output.force();
            return new PendingSnapshot(path, output, sizeBytes);
        } catch (IOException e) {
            output.close();
            throw e;
        }
    }

    private long write(Iterable<JournalRecord> records, Storage.WritableFile output)
            throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream(WRITE_BYTES);
        buffer.write(FrameFormat.magic());
        buffer.write(FrameFormat.header(placer));
        long writtenBytes = 0;
        for (JournalRecord journalRecord : records) {
            buffer.write(RecordCodec.frame(journalRecord));
            if (buffer.size() >= WRITE_BYTES) {
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
