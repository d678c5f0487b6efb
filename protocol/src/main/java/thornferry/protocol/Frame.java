package thornferry.protocol;

import io.netty.handler.codec.stomp.StompCommand;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A STOMP 1.2 frame. A frame is immutable and holds no pooled buffers, so that it can be retained
 * after the channel read that delivered it.
 *
 * <p>Headers keep their order and repetitions; {@link #header} returns the first value of a
 * repeated header, which is the valid one (specification, "Repeated Header Entries"). The body is
 * not copied, so callers must not modify it.
 */
@SuppressWarnings(
        "ArrayRecordComponent") // frames are never compared, and copying large bodies is costly
public record Frame(StompCommand command, List<Map.Entry<String, String>> headers, byte[] body) {
    private static final byte[] EMPTY_BODY = {};

    public Frame {
        Objects.requireNonNull(command);
        headers = List.copyOf(headers);
    }

    /**
     * Returns a frame without a body.
     *
     * @param namesAndValues alternating names and values of headers; headers with a null value are
     *     omitted
     */
    public static Frame of(StompCommand command, String... namesAndValues) {
        return new Frame(command, headerList(namesAndValues), EMPTY_BODY);
    }

    /** Returns a copy of this frame with the given body and a {@code content-type} header. */
    public Frame withBody(String contentType, byte[] content) {
        return with("content-type", contentType).replaceBody(content);
    }

    /**
     * Returns a copy of this frame with a header added at the end, or this frame if {@code value}
     * is null.
     */
    public Frame with(String name, String value) {
        if (value == null) {
            return this;
        }
        List<Map.Entry<String, String>> extendedHeaders = new ArrayList<>(headers);
        extendedHeaders.add(Map.entry(name, value));
        return new Frame(command, extendedHeaders, body);
    }

    private Frame replaceBody(byte[] content) {
        return new Frame(command, headers, content);
    }

    /** Returns the first value of a header, or null if the frame has no such header. */
    public String header(String name) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equals(name)) {
                return header.getValue();
            }
        }
        return null;
    }

    /** Returns the first value of a header, or a default if the frame has no such header. */
    public String header(String name, String defaultValue) {
        String value = header(name);
        return value == null ? defaultValue : value;
    }

    /** Returns the body decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    private static List<Map.Entry<String, String>> headerList(String... namesAndValues) {
        List<Map.Entry<String, String>> list = new ArrayList<>(namesAndValues.length / 2 + 2);
        for (int i = 0; i < namesAndValues.length; i += 2) {
            if (namesAndValues[i + 1] != null) {
                list.add(Map.entry(namesAndValues[i], namesAndValues[i + 1]));
            }
        }
        return list;
    }
}
