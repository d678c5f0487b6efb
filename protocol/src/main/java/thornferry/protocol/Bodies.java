package thornferry.protocol;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.nio.charset.StandardCharsets;

/** Message bodies: proto3 JSON, or binary where {@code content-type} is {@link #PROTOBUF}. */
public final class Bodies {
    public static final String JSON = "application/json";
    public static final String PROTOBUF = "application/x-protobuf";
    private static final JsonFormat.Parser PARSER = JsonFormat.parser().ignoringUnknownFields();
    private static final JsonFormat.Printer PRINTER =
            JsonFormat.printer().omittingInsignificantWhitespace();

    private Bodies() {}

    /**
     * Reads the body of a frame.
     *
     * @param type any message of the type that the body holds, such as its default instance
     * @throws ProtocolException naming the content type or what is malformed
     */
    @SuppressWarnings("unchecked")
    public static <M extends Message> M read(Frame frame, M type) throws ProtocolException {
        Message.Builder builder = type.newBuilderForType();
        String contentType = frame.header("content-type", JSON);
        int end = contentType.indexOf(';');
        String plain = (end < 0 ? contentType : contentType.substring(0, end)).trim();
        try {
            switch (plain) {
                case PROTOBUF -> builder.mergeFrom(frame.body());
                case JSON, "text/plain" -> PARSER.merge(frame.text(), builder);
                default ->
                        throw new ProtocolException(
                                "unknown content-type " + plain, "use " + JSON + " or " + PROTOBUF);
            }
        } catch (InvalidProtocolBufferException e) {
            throw new ProtocolException("malformed body", String.valueOf(e.getMessage()));
        }
        return (M) builder.build();
    }

    /** The frame with the message as its body, binary or JSON. */
    public static Frame write(Frame frame, Message message, boolean binary) {
        if (binary) {
            return frame.withBody(PROTOBUF, message.toByteArray());
        }
        return frame.withBody(JSON, json(message).getBytes(StandardCharsets.UTF_8));
    }

    /** The message as proto3 JSON. */
    public static String json(Message message) {
        try {
            return PRINTER.print(message);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e); // only messages with Any, and the schema has none
        }
    }
}
