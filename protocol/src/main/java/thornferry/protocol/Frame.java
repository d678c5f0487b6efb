package thornferry.protocol;

import io.netty.handler.codec.stomp.StompCommand;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * One STOMP 1.2 frame, immutable and free of pooled buffers, so that it can be retained after the
 * read that brought it.
 *
 * <p>Headers keep their order and repetitions; {@link #header} gives the first of a repeated
 * header, which is the valid one (specification, "Repeated Header Entries"). The body is not
 * copied: callers leave it unchanged.
 */
@SuppressWarnings("ArrayRecordComponent") // frames are not compared, and bodies are large
public record Frame(StompCommand command, List<Map.Entry<String, String>> headers, byte[] body) {
    private static final byte[] EMPTY = {};

    public Frame {
        Objects.requireNonNull(command);
        headers = List.copyOf(headers);
    }

    /**
     * A frame without a body; {@code headers} are names and values in turn, pairs with a null value
     * are left out.
     */
    public static Frame of(StompCommand command, String... headers) {
        return new Frame(command, pairs(headers), EMPTY);
    }

    /** The same frame with a body and its {@code content-type}. */
    public Frame withBody(String contentType, byte[] content) {
        return with("content-type", contentType).replaceBody(content);
    }

    /** The same frame with one more header at its end. */
    public Frame with(String name, String value) {
        if (value == null) {
            return this;
        }
        List<Map.Entry<String, String>> more = new ArrayList<>(headers);
        more.add(Map.entry(name, value));
        return new Frame(command, more, body);
    }

    private Frame replaceBody(byte[] content) {
        return new Frame(command, headers, content);
    }

    /** The first value of a header, or null where the frame has none of that name. */
    public String header(String name) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equals(name)) {
                return header.getValue();
            }
        }
        return null;
    }

    /** The first value of a header, or {@code otherwise}. */
    public String header(String name, String otherwise) {
        String value = header(name);
        return value == null ? otherwise : value;
    }

    /** The body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    private static List<Map.Entry<String, String>> pairs(String... headers) {
        List<Map.Entry<String, String>> list = new ArrayList<>(headers.length / 2 + 2);
        for (int i = 0; i < headers.length; i += 2) {
            if (headers[i + 1] != null) {
                list.add(Map.entry(headers[i], headers[i + 1]));
            }
        }
        return list;
    }
}
