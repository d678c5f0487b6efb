package thornferry.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.stomp.StompCommand;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads STOMP 1.2 frames, strictly: what the specification forbids ends the connection. After an
 * error nothing more is read. What is held for one frame is bounded by the limits, whatever a peer
 * sends and in whatever pieces.
 */
final class FrameDecoder extends ByteToMessageDecoder {
    private enum State {
        BETWEEN,
        HEADERS,
        BODY,
        BROKEN
    }

    private static final Map<String, StompCommand> COMMANDS = new HashMap<>();

    static {
        for (StompCommand command : StompCommand.values()) {
            if (command != StompCommand.UNKNOWN) {
                COMMANDS.put(command.name(), command);
            }
        }
    }

    private final FrameLimits limits;
    private State state = State.BETWEEN;
    private StompCommand command;
    private List<Map.Entry<String, String>> headers = new ArrayList<>();
    private int length; // of the body, -1 where it ends at the first NUL
    private int scanned; // octets from the reader index known not to hold what is looked for

    FrameDecoder(FrameLimits limits) {
        this.limits = limits;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        try {
            while (step(in, out)) {
                if (!out.isEmpty()) {
                    return; // passed on at once, so that what it leads to goes before what follows
                    // it
                }
            }
        } catch (RuntimeException e) {
            state = State.BROKEN;
            throw e;
        }
    }

    /** Gets one step further; false where more octets are needed. */
    private boolean step(ByteBuf in, List<Object> out) {
        switch (state) {
            case BETWEEN:
                return between(in);
            case HEADERS:
                return line(in);
            case BODY:
                return body(in, out);
            default:
                in.skipBytes(in.readableBytes());
                return false;
        }
    }

    /** Ends of lines between frames are heart-beats, or padding that the specification allows. */
    private boolean between(ByteBuf in) {
        while (in.isReadable()) {
            byte next = in.getByte(in.readerIndex());
            if (next == '\n') {
                in.skipBytes(1);
            } else if (next == '\r') {
                if (in.readableBytes() < 2) {
                    return false;
                }
                if (in.getByte(in.readerIndex() + 1) != '\n') {
                    throw new CorruptedFrameException("carriage return without line feed");
                }
                in.skipBytes(2);
            } else {
                state = State.HEADERS;
                command = null;
                headers = new ArrayList<>();
                scanned = 0;
                return true;
            }
        }
        return false;
    }

    private boolean line(ByteBuf in) {
        int end = find(in, (byte) '\n', limits.line() + 1);
        if (end < 0) {
            return false;
        }
        byte[] octets = ByteBufUtil.getBytes(in, in.readerIndex(), end);
        in.skipBytes(end + 1);
        int size = end > 0 && octets[end - 1] == '\r' ? end - 1 : end;
        if (command == null) {
            command = COMMANDS.get(new String(octets, 0, size, StandardCharsets.US_ASCII));
            if (command == null) {
                throw new CorruptedFrameException("unknown command");
            }
        } else if (size > 0) {
            header(octets, size);
        } else {
            length = length();
            state = State.BODY;
        }
        return true;
    }

    /**
     * Where the octet stands, counted from the reader index, or -1; raises where it cannot stand
     * within the limit.
     */
    private int find(ByteBuf in, byte octet, int limit) {
        int at = in.indexOf(in.readerIndex() + scanned, in.writerIndex(), octet);
        int end = at < 0 ? -1 : at - in.readerIndex();
        if (end >= limit || end < 0 && in.readableBytes() >= limit) {
            throw new TooLongFrameException("over " + (limit - 1) + " octets");
        }
        scanned = end < 0 ? in.readableBytes() : 0;
        return end;
    }

    private void header(byte[] octets, int size) {
        if (headers.size() >= limits.headers()) {
            throw new TooLongFrameException("over " + limits.headers() + " headers");
        }
        String text;
        try {
            text =
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(octets, 0, size))
                            .toString();
        } catch (CharacterCodingException e) {
            throw new CorruptedFrameException("a header is not UTF-8");
        }
        int colon = text.indexOf(':');
        if (colon <= 0 || text.indexOf('\0') >= 0) {
            throw new CorruptedFrameException("a header needs a name, a colon and no NUL");
        }
        // CONNECT and CONNECTED stay unescaped, for peers of version 1.0 (specification, "Value
        // Encoding")
        boolean plain = command == StompCommand.CONNECT || command == StompCommand.CONNECTED;
        String name = text.substring(0, colon);
        String value = text.substring(colon + 1);
        headers.add(Map.entry(plain ? name : unescape(name), plain ? value : unescape(value)));
    }

    private static String unescape(String text) {
        if (text.indexOf('\\') < 0) {
            return text;
        }
        StringBuilder plain = new StringBuilder(text.length());
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c != '\\') {
                plain.append(c);
                continue;
            }
            char escaped = ++i < text.length() ? text.charAt(i) : ' ';
            switch (escaped) {
                case 'n' -> plain.append('\n');
                case 'r' -> plain.append('\r');
                case 'c' -> plain.append(':');
                case '\\' -> plain.append('\\');
                default -> throw new CorruptedFrameException("undefined escape in a header");
            }
        }
        return plain.toString();
    }

    private int length() {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equals("content-length")) {
                try {
                    long told = Long.parseLong(header.getValue().trim());
                    if (told > limits.body()) {
                        throw new TooLongFrameException(
                                "a body of over " + limits.body() + " octets");
                    }
                    if (told >= 0) {
                        return (int) told;
                    }
                } catch (NumberFormatException e) {
                    // falls through to the message below
                }
                throw new CorruptedFrameException("content-length must be a number of octets");
            }
        }
        return -1;
    }

    private boolean body(ByteBuf in, List<Object> out) {
        int size = length;
        if (size < 0) {
            size = find(in, (byte) 0, limits.body() + 1);
            if (size < 0) {
                return false;
            }
        } else if (in.readableBytes() <= size) {
            return false;
        } else if (in.getByte(in.readerIndex() + size) != 0) {
            throw new CorruptedFrameException("no NUL after the body");
        }
        boolean mayHaveBody =
                command == StompCommand.SEND
                        || command == StompCommand.MESSAGE
                        || command == StompCommand.ERROR;
        if (size > 0 && !mayHaveBody) {
            throw new CorruptedFrameException(command + " must not have a body");
        }
        byte[] octets = ByteBufUtil.getBytes(in, in.readerIndex(), size);
        in.skipBytes(size + 1);
        out.add(new Frame(command, headers, octets));
        state = State.BETWEEN;
        scanned = 0;
        return true;
    }
}
