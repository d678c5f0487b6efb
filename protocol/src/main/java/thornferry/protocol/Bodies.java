package thornferry.protocol;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.nio.charset.StandardCharsets;

/**
 * Reads and writes message bodies: binary protobuf if the {@code content-type} is {@link
 * #PROTOBUF}, otherwise proto3 JSON.
 */
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
     * @param prototype any message of the expected type, such as its default instance
     * @throws ProtocolException if the content type is unknown or the body is malformed
     */
    @SuppressWarnings("unchecked")
    public static <M extends Message> M read(Frame frame, M prototype) throws ProtocolException {
        Message.Builder builder = prototype.newBuilderForType();
        String contentType = frame.header("content-type", JSON);
        int semicolon = contentType.indexOf(';');
        String mediaType =
                (semicolon < 0 ? contentType : contentType.substring(0, semicolon)).trim();
        try {
            switch (mediaType) {
                case PROTOBUF -> builder.mergeFrom(frame.body());
                case JSON, "text/plain" -> PARSER.merge(frame.text(), builder);
                default ->
                        throw new ProtocolException(
                                "unknown content-type " + mediaType,
                                "use " + JSON + " or " + PROTOBUF);
            }
        } catch (InvalidProtocolBufferException e) {
            throw new ProtocolException("malformed body", String.valueOf(e.getMessage()));
        }
        return (M) builder.build();
    }

    /** Returns the frame with the message as its body, as binary protobuf or as JSON. */
    public static Frame write(Frame frame, Message message, boolean binary) {
        if (binary) {
            return frame.withBody(PROTOBUF, message.toByteArray());
        }
        return frame.withBody(JSON, json(message).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the message as proto3 JSON. */
    public static String json(Message message) {
        try {
            return PRINTER.print(message);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e); // only thrown for Any fields; the schema has none
        }
    }
}
