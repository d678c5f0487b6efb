package thornferry.state;

import java.io.ByteArrayInputStream;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * An in-memory file system that crashes, or whose disk is full, at a given step. Each operation is
 * a step. After a power loss, any subset of the unforced writes is on the disk, applied in any
 * order, and each may be torn at any byte. The names of files are those that were forced last, or
 * those after any one of the later changes.
 */
final class CrashingStorage implements Storage {
    private static final String DISK_FULL = "No space left on device";

    /** Ends the incarnation. It is an Error, so that no code handles it as a failed operation. */
    static final class PowerLoss extends Error {
        private static final long serialVersionUID = 1;
    }

    /** The kinds of crash, which differ in what is lost. */
    enum Crash {
        /** Only the process ends; the operating system retains everything that was written. */
        KILL,
        /** The machine stops; unforced changes may be lost. */
        POWER_LOSS
    }

    /** A change of a file's contents. */
    private sealed interface Change {
        byte[] applyTo(byte[] content);

        /** Returns the random part of the change that reaches the disk if a crash interrupts it. */
        Change torn(SplittableRandom random);
    }

    @SuppressWarnings("ArrayRecordComponent") // changes are not compared
    private record Write(long offset, byte[] bytes) implements Change {
        @Override
        public byte[] applyTo(byte[] content) {
            int start = (int) offset;
            byte[] result = Arrays.copyOf(content, Math.max(content.length, start + bytes.length));
            System.arraycopy(bytes, 0, result, start, bytes.length);
            return result;
        }

        @Override
        public Write torn(SplittableRandom random) {
            return new Write(offset, Arrays.copyOf(bytes, random.nextInt(bytes.length + 1)));
        }
    }

    private record Truncation(long sizeBytes) implements Change {
        @Override
        public byte[] applyTo(byte[] content) {
            return Arrays.copyOf(content, (int) sizeBytes);
        }

        @Override
        public Truncation torn(SplittableRandom random) {
            return this;
        }
    }

    private static final class Inode {
        private byte[] content = new byte[0];
        private byte[] forced = new byte[0];
        private final List<Change> unforced = new ArrayList<>();

        void apply(Change change) {
            content = change.applyTo(content);
            unforced.add(change);
        }

        void force() {
            forced = content;
            unforced.clear();
        }

        /** Applies some of the unforced changes to the disk, in random order and torn at random. */
        void losePower(SplittableRandom random) {
            List<Change> changes = new ArrayList<>(unforced);
            for (int i = changes.size(); i > 1; i--) {
                Collections.swap(changes, i - 1, random.nextInt(i));
            }
            content = forced;
            for (Change change : changes.subList(0, random.nextInt(changes.size() + 1))) {
                content = change.torn(random).applyTo(content);
            }
        }
    }

    private final SplittableRandom random;
    private Map<Path, Inode> files = new TreeMap<>();
    private Map<Path, Inode> forcedFiles = new TreeMap<>();
    private final List<Map<Path, Inode>> unforcedFiles = new ArrayList<>(); // one per change

    /** The number of operations so far; the fields below refer to this count. */
    int steps;

    int crashAtStep = Integer.MAX_VALUE;
    int diskFullFromStep = Integer.MAX_VALUE;
    int diskFullUntilStep = Integer.MAX_VALUE;

    CrashingStorage(SplittableRandom random) {
        this.random = random;
    }

    void clearDiskFull() {
        diskFullFromStep = Integer.MAX_VALUE;
        diskFullUntilStep = Integer.MAX_VALUE;
    }

    /** Counts an operation; returns whether the disk is full at that step. */
    private boolean countStep() {
        steps++;
        if (steps == crashAtStep) {
            throw new PowerLoss();
        }
        return steps >= diskFullFromStep && steps < diskFullUntilStep;
    }

    private void countStepOrThrowIfDiskFull() throws IOException {
        if (countStep()) {
            throw new IOException(DISK_FULL);
        }
    }

    /** Crashes the process or the machine; what remains can be opened by another incarnation. */
    void crash(Crash crash) {
        if (crash == Crash.POWER_LOSS) {
            files = filesAfterPowerLoss();
            files.values().forEach(inode -> inode.losePower(random));
        }
        files.values().forEach(Inode::force);
        forcedFiles = new TreeMap<>(files);
        files = new TreeMap<>(files);
        unforcedFiles.clear();
        crashAtStep = Integer.MAX_VALUE;
    }

    private Map<Path, Inode> filesAfterPowerLoss() {
        if (unforcedFiles.isEmpty() || random.nextBoolean()) {
            return forcedFiles;
        }
        return unforcedFiles.get(random.nextInt(unforcedFiles.size()));
    }

    private void recordFileChange() {
        unforcedFiles.add(new TreeMap<>(files));
    }

    byte[] content(Path file) {
        return files.get(file).content;
    }

    void put(Path file, byte[] content) {
        Inode inode = new Inode();
        inode.content = content;
        inode.forced = content;
        files.put(file, inode);
        forcedFiles.put(file, inode);
    }

    private final class InodeFile implements WritableFile {
        private final Inode inode;

        InodeFile(Inode inode) {
            this.inode = inode;
        }

        @Override
        public void write(long offset, byte[] bytes) throws IOException {
            Write write = new Write(offset, bytes.clone());
            if (steps + 1 == crashAtStep) {
                inode.apply(write.torn(random));
            }
            if (countStep()) {
                inode.apply(write.torn(random));
                throw new IOException(DISK_FULL);
            }
            inode.apply(write);
        }

        @Override
        public void truncate(long sizeBytes) {
            countStep();
            inode.apply(new Truncation(sizeBytes));
        }

        @Override
        public void force() throws IOException {
            countStepOrThrowIfDiskFull();
            inode.force();
        }

        @Override
        public void close() {
            // nothing to release
        }
    }

    @Override
    public WritableFile create(Path file) throws IOException {
        countStep();
        Inode inode = new Inode();
        files.put(file, inode);
        recordFileChange();
        return new InodeFile(inode);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        countStepOrThrowIfDiskFull();
        files.put(to, files.remove(from));
        recordFileChange();
    }

    @Override
    public void forceFolder(Path folder) {
        countStep();
        forcedFiles = new TreeMap<>(files);
        unforcedFiles.clear();
    }

    @Override
    public void delete(Path file) {
        countStep();
        files.remove(file);
        recordFileChange();
    }

    @Override
    public List<Path> list(Path folder) {
        return List.copyOf(files.keySet());
    }

    @Override
    public long size(Path file) throws IOException {
        return inode(file).content.length;
    }

    @Override
    public InputStream read(Path file) throws IOException {
        return new ByteArrayInputStream(inode(file).content);
    }

    private Inode inode(Path file) throws IOException {
        Inode inode = files.get(file);
        if (inode == null) {
            throw new FileNotFoundException(file.toString());
        }
        return inode;
    }
}
