package thornferry.state;

import java.io.Closeable;
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

/**
 * The few things that a journal asks of a file system, so that tests can lose power between any two
 * of them.
 */
interface Storage {
    /** An open file. */
    interface WritableFile extends Closeable {
        /** Writes all of it at this offset; where it throws, any part may have been written. */
        void write(long at, byte[] octets) throws IOException;

        void truncate(long size) throws IOException;

        /** When it returns, what was written before outlasts a power loss. */
        void force() throws IOException;
    }

    /** A new file, empty; one of the name is overwritten. */
    WritableFile create(Path file) throws IOException;

    /** Atomic where the file system can; it outlasts a power loss after {@link #forceFolder}. */
    void rename(Path from, Path to) throws IOException;

    void forceFolder(Path folder) throws IOException;

    void delete(Path file) throws IOException;

    List<Path> list(Path folder) throws IOException;

    long size(Path file) throws IOException;

    InputStream read(Path file) throws IOException;

    /** The system's own. */
    Storage SYSTEM =
            new Storage() {
                private static final Logger LOG = LoggerFactory.getLogger(Storage.class);

                @Override
                public WritableFile create(Path file) throws IOException {
                    FileChannel channel =
                            FileChannel.open(
                                    file,
                                    StandardOpenOption.CREATE,
                                    StandardOpenOption.TRUNCATE_EXISTING,
                                    StandardOpenOption.WRITE);
                    return new WritableFile() {
                        @Override
                        public void write(long at, byte[] octets) throws IOException {
                            ByteBuffer buffer = ByteBuffer.wrap(octets);
                            for (long to = at; buffer.hasRemaining(); ) {
                                to += channel.write(buffer, to);
                            }
                        }

                        @Override
                        public void truncate(long size) throws IOException {
                            channel.truncate(size);
                        }

                        @Override
                        public void force() throws IOException {
                            channel.force(
                                    false); // the data and what is needed to find it, such as the
                            // file's length
                        }

                        @Override
                        public void close() throws IOException {
                            channel.close();
                        }
                    };
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
                    try (FileChannel dir = FileChannel.open(folder, StandardOpenOption.READ)) {
                        dir.force(true);
                    } catch (IOException e) {
                        LOG.debug("this system does not force folders: {}", e.getMessage());
                    }
                }

                @Override
                public void delete(Path file) throws IOException {
                    Files.deleteIfExists(file);
                }

                @Override
                public List<Path> list(Path folder) throws IOException {
                    try (Stream<Path> all = Files.list(folder)) {
                        return all.toList();
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
            };
}
