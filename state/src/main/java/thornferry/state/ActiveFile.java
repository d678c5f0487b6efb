package thornferry.state;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.JournalRecovery.RecoveredJournal;
import thornferry.state.SnapshotWriter.PendingSnapshot;

/**
 * The file that entries are appended to, and its replacement by a compacted one. Safe for use by
 * several threads: appends, and the two ends of a rewrite, exclude each other.
 */
final class ActiveFile implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(ActiveFile.class);

    /** After a failed write, the next one is attempted no earlier. */
    private static final long RETRY_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A file is not compacted before it has grown to this multiple of its initial size. */
    private static final long COMPACTION_GROWTH_FACTOR = 2;

    private static final String CLOSED = "the journal is closed";

    private enum State {
        APPENDING,
        /** Appended entries are also collected for the compacted file that is being written. */
        REWRITING,
        CLOSED
    }

    private final JournalFolder folder;
    private final Durability durability;
    private final LongSupplier nanoClock;
    private State state = State.APPENDING;
    private Path path; // null until there is a file
    private Storage.WritableFile output; // null until this incarnation has started
    private long generation;
    private long initialBytes;
    private long validBytes; // up to the end of the last frame that was written in full
    private List<byte[]> framesDuringRewrite = List.of();
    private String failure = "";
    private long failedAtNanos;

    ActiveFile(
            JournalFolder folder,
            RecoveredJournal recovered,
            Durability durability,
            LongSupplier nanoClock) {
        this.folder = folder;
        this.durability = durability;
        this.nanoClock = nanoClock;
        path = recovered.file().orElse(null);
        generation = recovered.generation();
    }

    /**
     * Writes frames at the end of the file, and forces it if the configured durability requires
     * that.
     *
     * @return the failure as a sentence; empty on success
     */
    synchronized Optional<String> append(List<byte[]> frames) {
        if (state == State.CLOSED) {
            return Optional.of(CLOSED);
        }
        if (hasFailed() && nanoClock.getAsLong() - failedAtNanos < RETRY_BACKOFF_NANOS) {
            return Optional.of(failure);
        }
        try {
            write(concatenate(frames));
        } catch (IOException e) {
            return Optional.of(recordFailure(e));
        }
        if (state == State.REWRITING) {
            framesDuringRewrite.addAll(frames);
        }
        recordSuccess();
        return Optional.empty();
    }

    private void write(byte[] bytes) throws IOException {
        if (hasFailed()) {
            // Without this, a part of a failed write would stay in the middle of the file.
            output.truncate(validBytes);
        }
        output.write(validBytes, bytes);
        if (durability == Durability.DISK) {
            output.force();
        }
        validBytes += bytes.length;
    }

    private static byte[] concatenate(List<byte[]> frames) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        frames.forEach(bytes::writeBytes);
        return bytes.toByteArray();
    }

    private String recordFailure(IOException e) {
        if (!hasFailed()) {
            LOG.error("journal {} cannot be written: {}", path, e.getMessage());
        }
        failure = "the journal cannot be written: " + e.getMessage();
        failedAtNanos = nanoClock.getAsLong();
        return failure;
    }

    private void recordSuccess() {
        if (hasFailed()) {
            LOG.warn("journal {} can be written again", path);
            failure = "";
        }
    }

    private boolean hasFailed() {
        return !failure.isEmpty();
    }

    /** The failure of the last write, as a sentence; empty if it succeeded. */
    synchronized String failure() {
        return failure;
    }

    synchronized boolean isClosed() {
        return state == State.CLOSED;
    }

    synchronized Path path() {
        return path;
    }

    /**
     * Begins a rewrite if the file has grown enough. From now on, until {@link #endRewrite}, frames
     * that are appended are collected too, because the snapshot may lack them.
     *
     * @param snapshot called under the lock of this file, so that no frame is appended between the
     *     snapshot and the beginning of the collection
     * @return the snapshot; empty if the file is not to be rewritten now
     */
    synchronized Optional<Iterable<JournalRecord>> beginRewrite(
            Supplier<Iterable<JournalRecord>> snapshot, long thresholdBytes) {
        boolean large = validBytes >= thresholdBytes;
        boolean grown = validBytes >= COMPACTION_GROWTH_FACTOR * initialBytes;
        if (state != State.APPENDING || hasFailed() || !large || !grown) {
            return Optional.empty();
        }
        state = State.REWRITING;
        framesDuringRewrite = new ArrayList<>();
        return Optional.of(snapshot.get());
    }

    /** Ends the collection of appended frames, whether or not the rewrite has succeeded. */
    synchronized void endRewrite() {
        framesDuringRewrite = List.of();
        if (state == State.REWRITING) {
            state = State.APPENDING;
        }
    }

    /**
     * Replaces the file by a compacted one, to which the frames are added that were appended since
     * {@link #beginRewrite}.
     *
     * <p>The steps are ordered so that a crash between any two of them loses nothing: the contents
     * are on the disk before the file takes its name, and the name is on the disk before the former
     * file is deleted.
     *
     * @throws IOException if the file stays as it was; the snapshot is then closed
     */
    synchronized void replaceBy(PendingSnapshot snapshot) throws IOException {
        Path renamed = folder.file(generation + 1);
        long bytes;
        try {
            if (state == State.CLOSED) {
                throw new IOException(CLOSED);
            }
            bytes = appendCollected(snapshot);
            snapshot.output().force();
            folder.storage().rename(snapshot.path(), renamed);
        } catch (IOException e) {
            snapshot.output().close();
            throw e;
        }
        // From here on the new file is the newest one, so that it takes the entries even if the
        // former file cannot be removed.
        Optional<Path> formerPath = Optional.ofNullable(path);
        Optional<Storage.WritableFile> formerOutput = Optional.ofNullable(output);
        path = renamed;
        output = snapshot.output();
        generation++;
        validBytes = bytes;
        initialBytes = bytes;
        removeFormer(formerPath, formerOutput);
    }

    private long appendCollected(PendingSnapshot snapshot) throws IOException {
        long bytes = snapshot.sizeBytes();
        for (byte[] frame : framesDuringRewrite) {
            snapshot.output().write(bytes, frame);
            bytes += frame.length;
        }
        return bytes;
    }

    private void removeFormer(
            Optional<Path> formerPath, Optional<Storage.WritableFile> formerOutput) {
        try {
            folder.storage().forceFolder(folder.path());
            if (formerOutput.isPresent()) {
                formerOutput.get().close();
            }
            if (formerPath.isPresent()) {
                folder.storage().delete(formerPath.get());
            }
        } catch (IOException e) {
            LOG.warn("journal {}: the former file remains: {}", path, e.getMessage());
        }
    }

    /** Closes the file; appends fail from now on. */
    @Override
    public synchronized void close() throws IOException {
        state = State.CLOSED;
        if (output != null) {
            output.close();
        }
    }
}
