package thornferry.state;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.v1.Header;
import thornferry.state.v1.Life;
import thornferry.state.v1.Line;

/**
 * The journal of one placer instance in a folder of its own, with one process at a time as its
 * owner.
 *
 * <p>The newest {@code journal-N.tfj} counts. A file begins with all that still counts, written
 * beside it and renamed when it is whole and forced; then lines are appended. So a file that stands
 * under its name always has its beginning, and at most its end can be torn.
 *
 * <p><b>Order kept:</b> lines are written in the order of {@link #append}; with {@link
 * Durability#DISK} one thread writes and forces what has come up since its last force, so a line
 * waits for at most two forces; a rewritten file is forced before it takes its name, and its folder
 * before the former file is deleted.
 */
public final class JournalFile implements Journal {
    /** Another process, or another instance of this one, uses the folder. */
    public static final class JournalInUseException extends IOException {
        private static final long serialVersionUID = 1;

        JournalInUseException(Path folder) {
            super(
                    "state folder "
                            + folder
                            + " is in use by another placer; each instance needs a folder of its"
                            + " own");
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(JournalFile.class);

    /**
     * A file is written anew when it has grown to so many octets, and to twice what it began with.
     */
    private static final long COMPACT_FROM = 8L << 20;

    /** After a failed write, the next is tried no earlier. */
    private static final long TRY_AGAIN_NANOS = 1_000_000_000;

    /** Lines of one force. */
    private static final int BATCH_OCTETS = 1 << 20;

    /** Octets of one write of a file that is written anew. */
    private static final int PIECE = 1 << 18;

    private record PendingAppend(byte[] octets, Consumer<String> done) {}

    private final Path folder;
    private final String placer;
    private final Durability durability;
    private final Storage storage;
    private final LongSupplier nanos;
    private final boolean threads;
    private final Closeable lock;
    private final JournalContents read;
    private final String restartTrouble;
    private final ArrayDeque<PendingAppend> queue =
            new ArrayDeque<>(); // for the writer thread; guarded by itself
    private final Thread writer;
    long compactFrom = COMPACT_FROM;
    private Storage.WritableFile out; // from here on guarded by this
    private Path file;
    private long number;
    private long good; // octets that are whole lines
    private long began; // octets that the file began with
    private List<byte[]> meanwhile; // appended while the file is written anew; null while it is not
    private String trouble = "";
    private long triedAt;
    private boolean closed;

    /**
     * @param threads whether forces and rewriting have threads of their own; else all is done where
     *     it is asked for
     */
    JournalFile(
            Path folder,
            String placer,
            Durability durability,
            Storage storage,
            LongSupplier nanos,
            boolean threads,
            Closeable lock)
            throws IOException {
        this.folder = folder;
        this.placer = placer;
        this.durability = durability;
        this.storage = storage;
        this.nanos = nanos;
        this.threads = threads;
        this.lock = lock;
        List<Path> files = files(storage, folder);
        JournalContents found = new JournalContents(placer, List.of(), true, false, "", null, 0);
        if (!files.isEmpty()) {
            Path newest = files.get(files.size() - 1);
            number = number(newest);
            file = newest;
            found = JournalContents.of(storage, newest, placer);
            if (!found.problem().isEmpty()) {
                LOG.warn("journal {} {}", newest, found.problem());
            }
            if (!found.complete()) {
                // kept for whoever looks into it; never read again
                Path aside =
                        newest.resolveSibling(
                                newest.getFileName() + ".aside-" + System.currentTimeMillis());
                storage.rename(newest, aside);
                file = null;
                LOG.warn("it is kept as {}", aside);
            }
        }
        read = found;
        restartTrouble = lacks(found);
        writer =
                threads && durability == Durability.DISK
                        ? new Thread(this::write, "journal-" + placer)
                        : null;
    }

    /**
     * Opens the journal of a placer instance, or begins one. Reads what is there; nothing is
     * written before {@link #startIncarnation}.
     *
     * @param durability {@link Durability#OS} or {@link Durability#DISK}
     * @throws JournalInUseException where another has it open
     * @throws IOException where the folder cannot be made, read or written
     */
    public static JournalFile open(Path folder, String placer, Durability durability)
            throws IOException {
        if (durability == Durability.NONE) {
            throw new IllegalArgumentException("nothing is written with durability none");
        }
        Files.createDirectories(folder);
        FileChannel channel =
                FileChannel.open(
                        folder.resolve("lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        try {
            FileLock lock = channel.tryLock();
            if (lock == null) {
                throw new JournalInUseException(folder);
            }
            return new JournalFile(
                    folder, placer, durability, Storage.SYSTEM, System::nanoTime, true, channel);
        } catch (OverlappingFileLockException e) {
            channel.close();
            throw new JournalInUseException(folder);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /** The journal files of a folder, oldest first. */
    public static List<Path> files(Path folder) throws IOException {
        return files(Storage.SYSTEM, folder);
    }

    private static List<Path> files(Storage storage, Path folder) throws IOException {
        return storage.list(folder).stream()
                .filter(f -> f.getFileName().toString().matches("journal-\\d{1,18}\\.tfj"))
                .sorted((a, b) -> Long.compare(number(a), number(b)))
                .toList();
    }

    private static long number(Path file) {
        String name = file.getFileName().toString();
        return Long.parseLong(name.substring(8, name.length() - 4));
    }

    /** What may be lacking since the former life; empty for nothing. */
    private String lacks(JournalContents found) {
        if (!found.complete()) { // a foreign one is never whole
            return "the journal found " + found.problem();
        } else if (found.lastIncarnation() != null
                && found.lastIncarnation().getDurability().equals(Durability.OS.name())
                && !found.lastIncarnation().getBoot().equals(boot())) {
            return "the machine was started anew, and with durability os its last lines may be"
                    + " lost";
        } else if (found.lastIncarnation() == null) {
            return "there was no journal before";
        }
        return "";
    }

    /** What former lives wrote, oldest first. */
    public List<JournalRecord> records() {
        return read.records();
    }

    /** Why what former lives offered may not all stand here; empty where it does. */
    public String incompleteBecause() {
        return restartTrouble;
    }

    /**
     * Begins this life with a file that holds what still counts; from now on {@link #append} may be
     * called.
     */
    public void startIncarnation(Iterable<JournalRecord> snapshot) throws IOException {
        rewrite(snapshot);
        if (writer != null) {
            writer.setDaemon(true);
            writer.start();
        }
    }

    /** Names this start of the machine, where the system tells it. */
    private static String boot() {
        try {
            return Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip();
        } catch (IOException e) {
            return ""; // not told here: then a new start of the machine goes unseen, as the
            // operator's page says
        }
    }

    // ---- appending ----
    @Override
    public void append(JournalRecord promise, Consumer<String> done) {
        byte[] octets = RecordCodec.frame(RecordCodec.encode(promise));
        if (writer != null) {
            synchronized (queue) {
                queue.add(new PendingAppend(octets, done));
                queue.notifyAll();
            }
            return;
        }
        String wrong;
        synchronized (this) {
            wrong = put(octets, List.of(octets));
        }
        done.accept(wrong);
    }

    /** Writes octets at the end; null or what is wrong. */
    private String put(byte[] octets, List<byte[]> lines) {
        if (closed) {
            return "the journal is closed";
        }
        if (!trouble.isEmpty() && nanos.getAsLong() - triedAt < TRY_AGAIN_NANOS) {
            return trouble;
        }
        try {
            if (!trouble.isEmpty()) {
                // guards against a half line in the middle: what a failed write left is cut off
                // before the next
                out.truncate(good);
            }
            out.write(good, octets);
            if (durability == Durability.DISK) {
                out.force();
            }
            good += octets.length;
            if (meanwhile != null) {
                meanwhile.addAll(lines);
            }
            if (!trouble.isEmpty()) {
                LOG.warn("journal {} is written again", file);
                trouble = "";
            }
            return null;
        } catch (IOException e) {
            if (trouble.isEmpty()) {
                LOG.error("journal {} cannot be written: {}", file, e.getMessage());
            }
            trouble = "the journal cannot be written: " + e.getMessage();
            triedAt = nanos.getAsLong();
            return trouble;
        }
    }

    /** The writer's thread: what came up during one force goes with the next. */
    private void write() {
        while (true) {
            List<PendingAppend> batch = new ArrayList<>();
            int octets = 0;
            synchronized (queue) {
                while (queue.isEmpty()) {
                    if (isClosed()) {
                        return;
                    }
                    try {
                        queue.wait(100);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                while (!queue.isEmpty() && octets < BATCH_OCTETS) {
                    batch.add(queue.poll());
                    octets += batch.get(batch.size() - 1).octets().length;
                }
            }
            ByteBuffer all = ByteBuffer.allocate(octets);
            batch.forEach(p -> all.put(p.octets()));
            String wrong;
            synchronized (this) {
                wrong = put(all.array(), batch.stream().map(PendingAppend::octets).toList());
            }
            batch.forEach(p -> p.done().accept(wrong));
        }
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    @Override
    public synchronized String writeFailure() {
        return trouble;
    }

    // ---- writing anew ----
    @Override
    public void compact(Supplier<Iterable<JournalRecord>> snapshot) {
        Iterable<JournalRecord> lines;
        synchronized (this) {
            if (!trouble.isEmpty()) {
                // the module offers nothing that needs us while we are in trouble, so nothing else
                // would try
                byte[] life = life();
                put(life, List.of(life));
            }
            if (closed
                    || meanwhile != null
                    || good < compactFrom
                    || good < 2 * began
                    || !trouble.isEmpty()) {
                return;
            }
            meanwhile = new ArrayList<>();
            lines = snapshot.get();
        }
        // off the caller's thread: what still counts may be many megabytes, and placing goes on
        // meanwhile
        if (!threads) {
            rewritten(lines);
            return;
        }
        Thread thread = new Thread(() -> rewritten(lines), "journal-compact-" + placer);
        thread.setDaemon(true);
        thread.start();
    }

    private void rewritten(Iterable<JournalRecord> lines) {
        try {
            rewrite(lines);
        } catch (IOException e) {
            LOG.error(
                    "journal {} could not be written anew and goes on growing: {}",
                    file,
                    e.getMessage());
        }
    }

    private void rewrite(Iterable<JournalRecord> lines) throws IOException {
        PendingSnapshot beside = null;
        try {
            beside = beside(lines);
            synchronized (this) {
                take(beside);
            }
        } catch (IOException e) {
            if (beside != null && beside.out() != out) {
                beside.out().close();
            }
            throw e;
        } finally {
            synchronized (this) {
                meanwhile = null;
            }
        }
    }

    /** A file made beside, open, of this size. */
    private record PendingSnapshot(Path path, Storage.WritableFile out, long size) {}

    private PendingSnapshot beside(Iterable<JournalRecord> lines) throws IOException {
        Path made = folder.resolve("journal-new.tmp");
        Storage.WritableFile to = storage.create(made);
        try {
            ByteArrayOutputStream buffer = new ByteArrayOutputStream(PIECE);
            buffer.write(JournalContents.MAGIC);
            buffer.write(
                    RecordCodec.frame(
                            Header.newBuilder()
                                    .setVersion(JournalContents.VERSION)
                                    .setPlacer(placer)
                                    .build()));
            long size = 0;
            for (JournalRecord p : lines) {
                buffer.write(RecordCodec.frame(RecordCodec.encode(p)));
                if (buffer.size() >= PIECE) {
                    to.write(size, buffer.toByteArray());
                    size += buffer.size();
                    buffer.reset();
                }
            }
            buffer.write(life());
            to.write(size, buffer.toByteArray());
            to.force();
            return new PendingSnapshot(made, to, size + buffer.size());
        } catch (IOException e) {
            to.close();
            throw e;
        }
    }

    private byte[] life() {
        return RecordCodec.frame(
                Line.newBuilder()
                        .setLife(Life.newBuilder().setBoot(boot()).setDurability(durability.name()))
                        .build());
    }

    /** The file made beside takes over, with what was appended meanwhile. */
    private void take(PendingSnapshot made) throws IOException {
        if (closed) {
            throw new IOException("the journal is closed");
        }
        Path named = folder.resolve("journal-" + (number + 1) + ".tfj");
        long size = made.size();
        if (meanwhile != null) {
            for (byte[] line : meanwhile) {
                made.out().write(size, line);
                size += line.length;
            }
        }
        // whole on the disk before it has its name, and its name on the disk before the former file
        // goes
        made.out().force();
        storage.rename(made.path(), named);
        // from here on the new file is the newest, so it takes the lines whatever fails below
        Path former = file;
        Storage.WritableFile formerOut = out;
        out = made.out();
        file = named;
        number++;
        good = size;
        began = size;
        try {
            storage.forceFolder(folder);
            if (formerOut != null) {
                formerOut.close();
            }
            if (former != null) {
                storage.delete(former);
            }
        } catch (IOException e) {
            LOG.warn("journal {}: the former file stays: {}", named, e.getMessage());
        }
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            try {
                if (out != null) {
                    out.close();
                }
                lock.close();
            } catch (IOException e) {
                LOG.warn("journal {} did not close well: {}", file, e.getMessage());
            }
        }
    }
}
