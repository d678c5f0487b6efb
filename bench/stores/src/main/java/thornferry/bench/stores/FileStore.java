package thornferry.bench.stores;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.zip.CRC32C;

/** Appends records with length and checksum to a plain file. */
final class FileStore implements RecordStore {
    private static final int HEADER_BYTES = 2 * Integer.BYTES;

    private final FileChannel file;

    private FileStore(FileChannel file) {
        this.file = file;
    }

    static FileStore open(Path folder) throws IOException {
        return new FileStore(
                FileChannel.open(
                        folder.resolve("log"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE));
    }

    @Override
    public void commit(long firstNumber, List<byte[]> records) throws IOException {
        int bytes = records.stream().mapToInt(record -> record.length + HEADER_BYTES).sum();
        ByteBuffer buffer = ByteBuffer.allocate(bytes);
        for (byte[] record : records) {
            CRC32C checksum = new CRC32C();
            checksum.update(record);
            buffer.putInt(record.length).putInt((int) checksum.getValue()).put(record);
        }
        buffer.flip();
        while (buffer.hasRemaining()) {
            file.write(buffer);
        }
        file.force(false);
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
