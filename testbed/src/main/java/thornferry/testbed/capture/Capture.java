package thornferry.testbed.capture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.Message;
import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import thornferry.decisions.placement.Placement;
import thornferry.placer.Site;
import thornferry.protocol.Bodies;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Drain;
import thornferry.protocol.v1.Order;
import thornferry.protocol.v1.ProbeReply;
import thornferry.protocol.v1.Register;
import thornferry.protocol.v1.StopTask;
import thornferry.protocol.v1.Task;
import thornferry.state.Durability;

/**
 * Writes what passed on the sockets as JSON lines, in the order in which the relay passed it on.
 * Each line has {@code t}, microseconds since the capture began, and {@code k}: {@code site} (the
 * rules it is judged by), {@code open}, {@code close}, {@code frame}, or {@code mark} (what a
 * script did). Safe for use by several threads.
 */
public final class Capture implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final BufferedWriter out;
    private final long begin = System.nanoTime();
    private long lines;
    private boolean closed;

    public Capture(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    /** Microseconds since the capture began. */
    public long now() {
        return (System.nanoTime() - begin) / 1_000;
    }

    synchronized void write(ObjectNode line) {
        if (closed) {
            return; // sockets still wind down; that is not part of the capture
        }
        ObjectNode stamped = JSON.createObjectNode();
        stamped.put("t", now());
        stamped.setAll(line);
        try {
            out.write(JSON.writeValueAsString(stamped));
            out.write('\n');
            lines++;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public synchronized long lines() {
        return lines;
    }

    /**
     * The first line: the classes and rules that what follows is judged by.
     *
     * @param startsPerSecond what the weakest node can start, warm, of tasks whose program it lacks
     */
    public void writeSite(Site site, double startsPerSecond) {
        Placement.Settings m = site.placement();
        ObjectNode line =
                JSON.createObjectNode()
                        .put("k", "site")
                        .put("lasting", site.state().durability() != Durability.NONE);
        line.putObject("rules")
                .put("answerGrace", m.rules().answerGraceMicros())
                .put("drainGrace", m.rules().drainGraceMicros())
                .put("ramp", m.rules().slowStartMicros())
                .put("coldFrom", m.rules().slowStartInitialShare())
                .put("coldMultiple", m.rules().slowStartMultiple())
                .put("coldWindow", m.rules().slowStartWindowMicros())
                .put("coldOffers", m.rules().slowStartOffers())
                .put("mostPatience", site.requestLimits().maxWaitMicros())
                .put("startsPerSecond", startsPerSecond);
        ArrayNode classes = line.putArray("classes");
        m.classes()
                .forEach(
                        c ->
                                classes.addObject()
                                        .put("name", c.name())
                                        .put("effect", effect(c.idempotency()))
                                        .put("keyScope", c.keyScope().name())
                                        .put("keyWindow", c.keyWindowMicros())
                                        .put("deadline", c.deadlineMicros())
                                        .put("spread", c.spreadScope().name())
                                        .put("spreadMost", c.maxTasksPerScope()));
        write(line);
    }

    private static String effect(Placement.Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "SAFE";
            case IDEMPOTENT_WITH_KEY -> "KEYED";
            case NON_IDEMPOTENT -> "UNSAFE";
        };
    }

    /** Something the script did that the auditor must know of, such as killing a placer. */
    public void writeMark(String what, String placer) {
        write(JSON.createObjectNode().put("k", "mark").put("what", what).put("placer", placer));
    }

    /** The relay itself holds back what goes to this link's peer, for so long; microseconds. */
    void writeSlowReader(long link, String placer, long micros) {
        write(
                JSON.createObjectNode()
                        .put("k", "mark")
                        .put("what", "slow-reader")
                        .put("placer", placer)
                        .put("link", link)
                        .put("until", now() + micros));
    }

    /** The script stands a placer still for so long; microseconds. */
    public void writePause(String placer, long micros) {
        write(
                JSON.createObjectNode()
                        .put("k", "mark")
                        .put("what", "placer-paused")
                        .put("placer", placer)
                        .put("until", now() + micros));
    }

    void writeOpened(long link, String placer) {
        write(JSON.createObjectNode().put("k", "open").put("link", link).put("placer", placer));
    }

    void writeClosed(long link, String placer) {
        write(JSON.createObjectNode().put("k", "close").put("link", link).put("placer", placer));
    }

    /**
     * @param up from client or node to placer
     */
    void writeFrame(long link, String placer, boolean up, Frame frame) {
        ObjectNode line =
                JSON.createObjectNode()
                        .put("k", "frame")
                        .put("link", link)
                        .put("placer", placer)
                        .put("dir", up ? "up" : "down")
                        .put("cmd", frame.command().name());
        ObjectNode headers = line.putObject("h");
        frame.headers()
                .forEach(
                        h -> {
                            if (!headers.has(h.getKey())
                                    && !h.getKey()
                                            .equals("passcode")) { // the first of repeats counts
                                headers.put(h.getKey(), h.getValue());
                            }
                        });
        if (frame.body().length > 0) {
            line.set("b", body(frame, up));
        }
        write(line);
    }

    private static JsonNode body(Frame frame, boolean up) {
        try {
            Message.Builder type = type(frame.header("destination", ""), up);
            if (type != null) {
                return JSON.readTree(Bodies.json(Bodies.read(frame, type)));
            }
            return JSON.readTree(frame.text());
        } catch (ProtocolException | JsonProcessingException e) {
            return JSON.getNodeFactory().textNode(Base64.getEncoder().encodeToString(frame.body()));
        }
    }

    private static Message.Builder type(String destination, boolean up) {
        if (!up) {
            return Destinations.nodeOfOffers(destination) == null ? null : Order.newBuilder();
        }
        return switch (destination) {
            case Destinations.TASKS -> Task.newBuilder();
            case Destinations.STOP -> StopTask.newBuilder();
            case Destinations.REGISTER -> Register.newBuilder();
            case Destinations.ANSWERS -> Answer.newBuilder();
            case Destinations.PROBES -> ProbeReply.newBuilder();
            case Destinations.DRAIN -> Drain.newBuilder();
            default -> null;
        };
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        out.close();
    }
}
