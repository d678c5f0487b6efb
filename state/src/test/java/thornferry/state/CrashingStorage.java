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
 * An in-memory file system that crashes, or whose disk is full, at a chosen step. After a power
 * loss, unforced changes may or may not be there: writes reach the disk in any order and torn
 * anywhere, and names as they were after one of their changes.
 */
final class CrashingStorage implements Storage {
    private static final String DISK_FULL = "No space left on device";

    /** Ends the incarnation; an Error, so that no code handles it as a failed operation. */
    static final class PowerLoss extends Error {
        private static final long serialVersionUID = 1;
    }

    /** What is lost with the process. */
    enum Crash {
        /** Only the process ends; the system still has what was written. */
        KILL,
        /** Unforced changes may be lost. */
        POWER_LOSS
    }

    /** A change of a file's contents. */
    private sealed interface Change {
        byte[] applyTo(byte[] content);

        /** The part of the change that reaches the disk before a crash in the middle of it. */
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

        /** Some of the unforced changes reach the disk: in any order, each torn anywhere. */
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
    private Map<Path, Inode> names = new TreeMap<>();
    private Map<Path, Inode> forcedNames = new TreeMap<>();
    private final List<Map<Path, Inode>> unforcedNames = new ArrayList<>(); // after each change

    /** Operations so far; the steps of the fields below are counted likewise. */
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

    /** Counts an operation; returns whether the disk is full for it. */
    private boolean countStep() {
        steps++;
        if (steps == crashAtStep) {
            throw new PowerLoss();
        }
        return steps >= diskFullFromStep && steps < diskFullUntilStep;
    }

    private void countStepOnDiskThatMayBeFull() throws IOException {
        if (countStep()) {
            throw new IOException(DISK_FULL);
        }
    }

    /** Ends the process, or the machine; what is left can be opened again. */
    void crash(Crash crash) {
        if (crash == Crash.POWER_LOSS) {
            names = namesAfterPowerLoss();
            names.values().forEach(inode -> inode.losePower(random));
        }
        names.values().forEach(Inode::force);
        forcedNames = new TreeMap<>(names);
        names = new TreeMap<>(names);
        unforcedNames.clear();
        crashAtStep = Integer.MAX_VALUE;
    }

    private Map<Path, Inode> namesAfterPowerLoss() {
        if (unforcedNames.isEmpty() || random.nextBoolean()) {
            return forcedNames;
        }
        return unforcedNames.get(random.nextInt(unforcedNames.size()));
    }

    private void recordNameChange() {
        unforcedNames.add(new TreeMap<>(names));
    }

    byte[] content(Path file) {
        return names.get(file).content;
    }

    void put(Path file, byte[] content) {
        Inode inode = new Inode();
        inode.content = content;
        inode.forced = content;
        names.put(file, inode);
        forcedNames.put(file, inode);
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
            countStepOnDiskThatMayBeFull();
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
        names.put(file, inode);
        recordNameChange();
        return new InodeFile(inode);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        countStepOnDiskThatMayBeFull();
        names.put(to, names.remove(from));
        recordNameChange();
    }

    @Override
    public void forceFolder(Path folder) {
        countStep();
        forcedNames = new TreeMap<>(names);
        unforcedNames.clear();
    }

    @Override
    public void delete(Path file) {
        countStep();
        names.remove(file);
        recordNameChange();
    }

    @Override
    public List<Path> list(Path folder) {
        return List.copyOf(names.keySet());
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
        Inode inode = names.get(file);
        if (inode == null) {
            throw new FileNotFoundException(file.toString());
        }
        return inode;
    }
}
