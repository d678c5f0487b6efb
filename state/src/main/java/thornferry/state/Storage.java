package thornferry.state;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.List;

/**
 * The file-system operations that the journal uses, so that tests can simulate a power loss between
 * any two of them.
 */
interface Storage {
    /** The file system of the machine. */
    Storage SYSTEM = new SystemStorage();

    /** An open file. */
    interface WritableFile extends Closeable {
        /** Writes all bytes at an offset; if it throws, any part of them may have been written. */
        void write(long offset, byte[] bytes) throws IOException;

        void truncate(long sizeBytes) throws IOException;

        /** When it returns, everything written before survives a power loss. */
        void force() throws IOException;
    }

    /** Creates an empty file; one that has the name already is overwritten. */
    WritableFile create(Path file) throws IOException;

    /** Atomic if the file system supports it; survives a power loss after {@link #forceFolder}. */
    void rename(Path from, Path to) throws IOException;

    /** When it returns, names that were created, changed or deleted before survive a power loss. */
    void forceFolder(Path folder) throws IOException;

    void delete(Path file) throws IOException;

    List<Path> list(Path folder) throws IOException;

    long size(Path file) throws IOException;

    InputStream read(Path file) throws IOException;
}
