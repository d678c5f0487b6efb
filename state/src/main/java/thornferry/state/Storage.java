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
        /**
         * Writes all bytes at an offset.
         *
         * @throws IOException if writing failed; any part of the bytes may have been written
         */
        void write(long offset, byte[] bytes) throws IOException;

        void truncate(long sizeBytes) throws IOException;

        /** Forces everything written so far to disk, where it survives a power loss. */
        void force() throws IOException;
    }

    /** Creates an empty file, or truncates an existing file of that name. */
    WritableFile create(Path file) throws IOException;

    /**
     * Renames a file, atomically if the file system supports that. The new name survives a power
     * loss only after {@link #forceFolder}.
     */
    void rename(Path from, Path to) throws IOException;

    /** Forces the creations, renames and deletions of files in a folder to disk. */
    void forceFolder(Path folder) throws IOException;

    void delete(Path file) throws IOException;

    List<Path> list(Path folder) throws IOException;

    long size(Path file) throws IOException;

    InputStream read(Path file) throws IOException;
}
