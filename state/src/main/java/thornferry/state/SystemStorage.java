package thornferry.state;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The file system of the machine. */
final class SystemStorage implements Storage {
    private static final Logger LOG = LoggerFactory.getLogger(SystemStorage.class);

    private record ChannelFile(FileChannel channel) implements WritableFile {
        @Override
        public void write(long offset, byte[] bytes) throws IOException {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            long position = offset;
            while (buffer.hasRemaining()) {
                position += channel.write(buffer, position);
            }
        }

        @Override
        public void truncate(long sizeBytes) throws IOException {
            channel.truncate(sizeBytes);
        }

        @Override
        public void force() throws IOException {
            // false: of the metadata, only what is needed to read the data, such as the length
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    @Override
    public WritableFile create(Path file) throws IOException {
        return new ChannelFile(
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE));
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        try {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
        } catch (AtomicMoveNotSupportedException e) {
            Files.move(from, to);
        }
    }

    @Override
    public void forceFolder(Path folder) {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        } catch (IOException e) {
            LOG.debug("the system cannot force a folder to disk: {}", e.getMessage());
        }
    }

    @Override
    public void delete(Path file) throws IOException {
        Files.deleteIfExists(file);
    }

    @Override
    public List<Path> list(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.toList();
        }
    }

    @Override
    public long size(Path file) throws IOException {
        return Files.size(file);
    }

    @Override
    public InputStream read(Path file) throws IOException {
        return Files.newInputStream(file);
    }
}
