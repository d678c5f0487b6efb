package thornferry.testbed.capture;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import thornferry.placer.Site;
import thornferry.protocol.Frame;

/**
 * A writer of a capture file, which holds one JSON object per line: first the site's rules, then
 * connections, frames and marks in the order in which the recording proxies forwarded or injected
 * them. {@link CaptureFormat} defines the keys. This class is thread-safe.
 */
public final class Capture implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long NANOS_PER_MICRO = 1_000;

    private final BufferedWriter out;
    private final long startNanos = System.nanoTime();
    private long lineCount;
    private boolean closed;

    /**
     * Starts a capture.
     *
     * @param file the file to write; an existing file is overwritten
     */
    public Capture(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    /** Returns the time since the start of the capture, in microseconds. */
    public long now() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
    }

    /** Returns the number of lines written so far. */
    public synchronized long lines() {
        return lineCount;
    }

    /**
     * Writes the first line: the task classes and rules against which the trace auditor checks the
     * following lines.
     *
     * @param startsPerSecond number of tasks per second that the slowest node can start after its
     *     slow start if it has not yet loaded their programs
     */
    public void writeSite(Site site, double startsPerSecond) {
        write(SiteRow.of(site, startsPerSecond));
    }

    /** Writes a mark, which records an action on the cluster. */
    public void writeMark(Mark mark) {
        if (mark instanceof Mark.PlacerKilled) {
            write(markRow(CaptureFormat.PLACER_KILLED, mark));
        } else if (mark instanceof Mark.PlacerPaused pausedPlacer) {
            ObjectNode row = markRow(CaptureFormat.PLACER_PAUSED, mark);
            write(putUntil(row, pausedPlacer.pauseMicros()));
        } else if (mark instanceof Mark.SlowReader slowReader) {
            ObjectNode row =
                    markRow(CaptureFormat.SLOW_READER, mark)
                            .put(CaptureFormat.CONNECTION, slowReader.connection());
            write(putUntil(row, slowReader.pauseMicros()));
        } else if (mark instanceof Mark.Other other) {
            write(markRow(other.name(), mark));
        }
    }

    /**
     * Writes a mark that the trace auditor's rules do not depend on.
     *
     * @param name name of the action, as written to the file
     * @param placer name of the affected placer; empty if the action affects no placer
     */
    public void writeMark(String name, String placer) {
        writeMark(new Mark.Other(name, placer));
    }

    /**
     * Writes a mark that a placer's process is suspended from now on for {@code pauseMicros}. If
     * the pause ends later than planned, the caller writes a second mark with 0 at its end.
     */
    public void writePause(String placer, long pauseMicros) {
        writeMark(new Mark.PlacerPaused(placer, pauseMicros));
    }

    void writeOpened(long connection, String placer) {
        write(connectionRow(CaptureFormat.OPEN_ROW, connection, placer));
    }

    void writeClosed(long connection, String placer) {
        write(connectionRow(CaptureFormat.CLOSE_ROW, connection, placer));
    }

    void writeFrame(long connection, String placer, Direction direction, Frame frame) {
        write(FrameRow.of(connection, placer, direction, frame));
    }

    private static ObjectNode connectionRow(String kind, long connection, String placer) {
        return JSON.createObjectNode()
                .put(CaptureFormat.ROW_KIND, kind)
                .put(CaptureFormat.CONNECTION, connection)
                .put(CaptureFormat.PLACER, placer);
    }

    private static ObjectNode markRow(String name, Mark mark) {
        return JSON.createObjectNode()
                .put(CaptureFormat.ROW_KIND, CaptureFormat.MARK_ROW)
                .put(CaptureFormat.MARK_NAME, name)
                .put(CaptureFormat.PLACER, mark.placer());
    }

    private ObjectNode putUntil(ObjectNode row, long pauseMicros) {
        return row.put(CaptureFormat.MARK_UNTIL, now() + pauseMicros);
    }

    private synchronized void write(ObjectNode row) {
        if (closed) {
            return; // events of connections that close after the end are not part of the capture
        }
        ObjectNode timestampedRow = JSON.createObjectNode();
        timestampedRow.put(CaptureFormat.TIME, now());
        timestampedRow.setAll(row);
        try {
            out.write(JSON.writeValueAsString(timestampedRow));
            out.write('\n');
            lineCount++;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        out.close();
    }
}
