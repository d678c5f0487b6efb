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
 * A file system in memory that loses power, or is full, at a chosen step. What was not forced then
 * may be there or not: writes reach the disk in any order and torn anywhere, names up to some point
 * of their order.
 */
final class CrashingStorage implements Storage {
    /** The power is gone; an Error, so that nothing takes it for a failure that can be handled. */
    static final class PowerLoss extends Error {
        private static final long serialVersionUID = 1;
    }

    private record Write(long at, byte[] octets) {}

    private static final class Inode {
        byte[] seen = new byte[0];
        byte[] forced = new byte[0];
        final List<Write> unforced = new ArrayList<>(); // octets null for a truncation to at
    }

    private final SplittableRandom random;
    private Map<Path, Inode> names = new TreeMap<>();
    private Map<Path, Inode> forcedNames = new TreeMap<>();
    private final List<Map<Path, Inode>> unforcedNames = new ArrayList<>();
    int steps;
    int losesPowerAt = Integer.MAX_VALUE;
    int fullFrom = Integer.MAX_VALUE;
    int fullUntil = Integer.MAX_VALUE;

    CrashingStorage(SplittableRandom random) {
        this.random = random;
    }

    private boolean step() {
        if (++steps == losesPowerAt) {
            throw new PowerLoss();
        }
        return steps >= fullFrom && steps < fullUntil;
    }

    private static byte[] applied(byte[] to, Write w, int length) {
        if (w.octets() == null) {
            return Arrays.copyOf(to, (int) w.at());
        }
        byte[] result = Arrays.copyOf(to, Math.max(to.length, (int) w.at() + length));
        System.arraycopy(w.octets(), 0, result, (int) w.at(), length);
        return result;
    }

    /** The process is gone; with {@code power} the machine too. */
    void crash(boolean power) {
        if (power) {
            names =
                    unforcedNames.isEmpty()
                            ? forcedNames
                            : random.nextBoolean()
                                    ? forcedNames
                                    : unforcedNames.get(random.nextInt(unforcedNames.size()));
            for (Inode i : names.values()) {
                List<Write> left = new ArrayList<>(i.unforced);
                for (int k = left.size(); k > 1; k--) {
                    Collections.swap(left, k - 1, random.nextInt(k));
                }
                left = left.subList(0, random.nextInt(left.size() + 1));
                byte[] content = i.forced;
                for (Write w : left) {
                    content =
                            applied(
                                    content,
                                    w,
                                    w.octets() == null ? 0 : random.nextInt(w.octets().length + 1));
                }
                i.seen = content;
            }
        }
        for (Inode i : names.values()) {
            i.forced = i.seen;
            i.unforced.clear();
        }
        forcedNames = new TreeMap<>(names);
        names = new TreeMap<>(names);
        unforcedNames.clear();
        losesPowerAt = Integer.MAX_VALUE;
    }

    private void named() {
        unforcedNames.add(new TreeMap<>(names));
    }

    byte[] content(Path file) {
        return names.get(file).seen;
    }

    void put(Path file, byte[] content) {
        Inode i = new Inode();
        i.seen = content;
        i.forced = content;
        names.put(file, i);
        forcedNames.put(file, i);
    }

    @Override
    public WritableFile create(Path file) throws IOException {
        step();
        Inode inode = new Inode();
        names.put(file, inode);
        named();
        return new WritableFile() {
            @Override
            public void write(long at, byte[] octets) throws IOException {
                int length = octets.length;
                if (steps + 1 == losesPowerAt) {
                    length =
                            random.nextInt(
                                    length + 1); // a kill in the middle of a write leaves a part
                    // of it
                    inode.seen = applied(inode.seen, new Write(at, octets), length);
                    inode.unforced.add(new Write(at, Arrays.copyOf(octets, length)));
                }
                if (step()) {
                    length = random.nextInt(length + 1);
                    inode.seen = applied(inode.seen, new Write(at, octets), length);
                    inode.unforced.add(new Write(at, Arrays.copyOf(octets, length)));
                    throw new IOException("No space left on device");
                }
                inode.seen = applied(inode.seen, new Write(at, octets), length);
                inode.unforced.add(new Write(at, octets.clone()));
            }

            @Override
            public void truncate(long size) {
                step();
                inode.seen = Arrays.copyOf(inode.seen, (int) size);
                inode.unforced.add(new Write(size, null));
            }

            @Override
            public void force() throws IOException {
                if (step()) {
                    throw new IOException("No space left on device");
                }
                inode.forced = inode.seen;
                inode.unforced.clear();
            }

            @Override
            public void close() {
                // nothing more is written
            }
        };
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        if (step()) {
            throw new IOException("No space left on device");
        }
        names.put(to, names.remove(from));
        named();
    }

    @Override
    public void forceFolder(Path folder) {
        step();
        forcedNames = new TreeMap<>(names);
        unforcedNames.clear();
    }

    @Override
    public void delete(Path file) {
        step();
        names.remove(file);
        named();
    }

    @Override
    public List<Path> list(Path folder) {
        return List.copyOf(names.keySet());
    }

    @Override
    public long size(Path file) throws IOException {
        return inode(file).seen.length;
    }

    @Override
    public InputStream read(Path file) throws IOException {
        return new ByteArrayInputStream(inode(file).seen);
    }

    private Inode inode(Path file) throws IOException {
        Inode i = names.get(file);
        if (i == null) {
            throw new FileNotFoundException(file.toString());
        }
        return i;
    }
}
