package thornferry.state;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import thornferry.state.JournalFile.JournalInUseException;

/**
 * The folder of one placer instance's journal. It holds one file for each generation, {@code
 * journal-N.tfj}, of which the highest N counts; a file that is being prepared; files set aside
 * because they could not be used; and the lock file that keeps a second process out.
 */
final class JournalFolder implements Closeable {
    private static final String LOCK_FILE = "lock";
    private static final String TEMPORARY_FILE = "journal-new.tmp";
    private static final String ASIDE_SUFFIX = ".aside-";
    private static final Pattern FILE_NAME = Pattern.compile("journal-(\\d{1,18})\\.tfj");

    private final Path path;
    private final Storage storage;
    private final Closeable lock;

    JournalFolder(Path path, Storage storage, Closeable lock) {
        this.path = path;
        this.storage = storage;
        this.lock = lock;
    }

    /**
     * Creates the folder if need be, and locks it until {@link #close}.
     *
     * @throws JournalInUseException if another process, or another instance in this one, has locked
     *     it
     */
    static JournalFolder lock(Path path) throws IOException {
        Files.createDirectories(path);
        FileChannel channel =
                FileChannel.open(
                        path.resolve(LOCK_FILE),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        try {
            FileLock lock = channel.tryLock();
            if (lock == null) {
                throw new JournalInUseException(path);
            }
            return new JournalFolder(path, Storage.SYSTEM, channel);
        } catch (OverlappingFileLockException e) {
            channel.close();
            throw new JournalInUseException(path);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /** The journal files of a folder, oldest generation first. */
    static List<Path> files(Storage storage, Path folder) throws IOException {
        return storage.list(folder).stream()
                .filter(file -> matchName(file).matches())
                .sorted(Comparator.comparingLong(JournalFolder::generation))
                .toList();
    }

    /** The journal files, oldest generation first. */
    List<Path> files() throws IOException {
        return files(storage, path);
    }

    /** The N of a file's name {@code journal-N.tfj}. */
    static long generation(Path file) {
        Matcher matcher = matchName(file);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("not the name of a journal file: " + file);
        }
        return Long.parseLong(matcher.group(1));
    }

    private static Matcher matchName(Path file) {
        return FILE_NAME.matcher(file.getFileName().toString());
    }

    /** The file of a generation. */
    Path file(long generation) {
        return path.resolve("journal-" + generation + ".tfj");
    }

    /** The file that a compacted journal is written to before it takes its name. */
    Path temporaryFile() {
        return path.resolve(TEMPORARY_FILE);
    }

    /** Renames a file that cannot be used, for later inspection; returns its new name. */
    Path setAside(Path file) throws IOException {
        Path aside =
                file.resolveSibling(file.getFileName() + ASIDE_SUFFIX + System.currentTimeMillis());
        storage.rename(file, aside);
        return aside;
    }

    Path path() {
        return path;
    }

    Storage storage() {
        return storage;
    }

    /** Releases the lock. */
    @Override
    public void close() throws IOException {
        lock.close();
    }
}
