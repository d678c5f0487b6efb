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
 * The folder of one placer instance's journal. It contains:
 *
 * <ul>
 *   <li>{@code journal-N.tfj}, the file of generation N; the one with the highest N is used;
 *   <li>a temporary file, while a compacted file is being written;
 *   <li>renamed files that could not be used;
 *   <li>the lock file, which prevents a second process from using the folder.
 * </ul>
 */
final class JournalFolder implements Closeable {
    private static final String LOCK_FILE = "lock";
    private static final String TEMPORARY_FILE = "journal-new.tmp";
    private static final String UNUSABLE_SUFFIX = ".aside-";
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
     * Creates the folder if it does not exist, and locks it until {@link #close}.
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

    /** Returns the journal files of a folder, oldest generation first. */
    static List<Path> files(Storage storage, Path folder) throws IOException {
        return storage.list(folder).stream()
                .filter(file -> fileNameMatcher(file).matches())
                .sorted(Comparator.comparingLong(JournalFolder::generation))
                .toList();
    }

    /** Returns the journal files of this folder, oldest generation first. */
    List<Path> files() throws IOException {
        return files(storage, path);
    }

    /** Returns the generation N of a file with the name {@code journal-N.tfj}. */
    static long generation(Path file) {
        Matcher matcher = fileNameMatcher(file);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(
                    "not named like a journal file, journal-N.tfj: " + file);
        }
        return Long.parseLong(matcher.group(1));
    }

    private static Matcher fileNameMatcher(Path file) {
        return FILE_NAME.matcher(file.getFileName().toString());
    }

    /** Returns the path of a generation's file. */
    Path file(long generation) {
        return path.resolve("journal-" + generation + ".tfj");
    }

    /** Returns the path at which a compacted file is written before it is renamed. */
    Path temporaryFile() {
        return path.resolve(TEMPORARY_FILE);
    }

    /** Renames a file that cannot be used, to keep it for inspection; returns its new path. */
    Path renameUnusable(Path file) throws IOException {
        Path newPath =
                file.resolveSibling(
                        file.getFileName() + UNUSABLE_SUFFIX + System.currentTimeMillis());
        storage.rename(file, newPath);
        return newPath;
    }

    Path path() {
        return path;
    }

    Storage storage() {
        return storage;
    }

    /** Unlocks the folder. */
    @Override
    public void close() throws IOException {
        lock.close();
    }
}
