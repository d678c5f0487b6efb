package thornferry.testbed.capture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.Message;
import java.util.Base64;
import java.util.Optional;
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

/** Converts a STOMP frame to a row of a capture file. */
final class FrameRow {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PASSCODE_HEADER = "passcode";
    private static final String DESTINATION_HEADER = "destination";

    private FrameRow() {}

    static ObjectNode of(long connection, String placer, Direction direction, Frame frame) {
        ObjectNode row =
                JSON.createObjectNode()
                        .put(CaptureFormat.ROW_KIND, CaptureFormat.FRAME_ROW)
                        .put(CaptureFormat.CONNECTION, connection)
                        .put(CaptureFormat.PLACER, placer)
                        .put(CaptureFormat.DIRECTION, direction.captureName())
                        .put(CaptureFormat.COMMAND, frame.command().name());
        putHeaders(row.putObject(CaptureFormat.HEADERS), frame);
        if (frame.body().length > 0) {
            row.set(CaptureFormat.BODY, bodyToJson(frame, direction));
        }
        return row;
    }

    /** Adds the headers: only the first of those with the same name, and never the passcode. */
    private static void putHeaders(ObjectNode headers, Frame frame) {
        frame.headers()
                .forEach(
                        header -> {
                            String name = header.getKey();
                            if (!headers.has(name) && !name.equals(PASSCODE_HEADER)) {
                                headers.put(name, header.getValue());
                            }
                        });
    }

    /** Returns the body as JSON, or as Base64 text if it cannot be decoded. */
    private static JsonNode bodyToJson(Frame frame, Direction direction) {
        try {
            Optional<Message> messageType =
                    messageTypeOf(frame.header(DESTINATION_HEADER, ""), direction);
            if (messageType.isPresent()) {
                return JSON.readTree(Bodies.json(Bodies.read(frame, messageType.get())));
            }
            return JSON.readTree(frame.text());
        } catch (ProtocolException | JsonProcessingException e) {
            return JSON.getNodeFactory().textNode(Base64.getEncoder().encodeToString(frame.body()));
        }
    }

    /**
     * Returns the protobuf message type of a destination's bodies; empty if they are plain JSON.
     */
    private static Optional<Message> messageTypeOf(String destination, Direction direction) {
        if (direction == Direction.FROM_PLACER) {
            return Optional.ofNullable(Destinations.nodeOfOffers(destination))
                    .map(node -> Order.getDefaultInstance());
        }
        return switch (destination) {
            case Destinations.TASKS -> Optional.of(Task.getDefaultInstance());
            case Destinations.STOP -> Optional.of(StopTask.getDefaultInstance());
            case Destinations.REGISTER -> Optional.of(Register.getDefaultInstance());
            case Destinations.ANSWERS -> Optional.of(Answer.getDefaultInstance());
            case Destinations.PROBES -> Optional.of(ProbeReply.getDefaultInstance());
            case Destinations.DRAIN -> Optional.of(Drain.getDefaultInstance());
            default -> Optional.empty();
        };
    }
}
