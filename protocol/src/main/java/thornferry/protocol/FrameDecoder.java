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
 * A strict decoder of STOMP 1.2 frames: input that the specification forbids causes an exception,
 * after which all further input is discarded. The limits bound the memory for one frame, whatever a
 * peer sends and however the bytes are split.
 */
final class FrameDecoder extends ByteToMessageDecoder {
    private enum State {
        BETWEEN_FRAMES,
        HEADERS,
        BODY,
        FAILED
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
    private State state = State.BETWEEN_FRAMES;
    private StompCommand command;
    private List<Map.Entry<String, String>> headers = new ArrayList<>();
    private int bodyLength; // -1 without content-length: the body ends at the first NUL
    private int scannedBytes; // bytes after the reader index already searched for the delimiter

    FrameDecoder(FrameLimits limits) {
        this.limits = limits;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        try {
            while (decodeNextPart(in, out)) {
                if (!out.isEmpty()) {
                    return; // the handlers process this frame before the next one is decoded
                }
            }
        } catch (RuntimeException e) {
            state = State.FAILED;
            throw e;
        }
    }

    /** Decodes one part of a frame; returns false if more bytes are needed. */
    private boolean decodeNextPart(ByteBuf in, List<Object> out) {
        return switch (state) {
            case BETWEEN_FRAMES -> skipBetweenFrames(in);
            case HEADERS -> readCommandOrHeader(in);
            case BODY -> readBody(in, out);
            case FAILED -> {
                in.skipBytes(in.readableBytes());
                yield false;
            }
        };
    }

    /**
     * Skips line ends between frames, which are heartbeats or padding that the specification
     * allows.
     */
    private boolean skipBetweenFrames(ByteBuf in) {
        while (in.isReadable()) {
            byte nextByte = in.getByte(in.readerIndex());
            if (nextByte == '\n') {
                in.skipBytes(1);
            } else if (nextByte == '\r') {
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
                scannedBytes = 0;
                return true;
            }
        }
        return false;
    }

    private boolean readCommandOrHeader(ByteBuf in) {
        int end = findDelimiter(in, (byte) '\n', limits.maxHeaderLineBytes() + 1);
        if (end < 0) {
            return false;
        }
        byte[] bytes = ByteBufUtil.getBytes(in, in.readerIndex(), end);
        in.skipBytes(end + 1);
        int size = end > 0 && bytes[end - 1] == '\r' ? end - 1 : end;
        if (command == null) {
            command = COMMANDS.get(new String(bytes, 0, size, StandardCharsets.US_ASCII));
            if (command == null) {
                throw new CorruptedFrameException("unknown command");
            }
        } else if (size > 0) {
            addHeader(bytes, size);
        } else {
            bodyLength = contentLength();
            state = State.BODY;
        }
        return true;
    }

    /**
     * Returns the offset of the delimiter from the reader index, or -1 if it has not arrived yet.
     *
     * @throws TooLongFrameException if the offset is not below the limit
     */
    private int findDelimiter(ByteBuf in, byte delimiter, int limit) {
        int index = in.indexOf(in.readerIndex() + scannedBytes, in.writerIndex(), delimiter);
        int end = index < 0 ? -1 : index - in.readerIndex();
        if (end >= limit || (end < 0 && in.readableBytes() >= limit)) {
            throw new TooLongFrameException("over " + (limit - 1) + " octets");
        }
        scannedBytes = end < 0 ? in.readableBytes() : 0;
        return end;
    }

    private void addHeader(byte[] bytes, int size) {
        if (headers.size() >= limits.maxHeaders()) {
            throw new TooLongFrameException("over " + limits.maxHeaders() + " headers");
        }
        String text;
        try {
            text =
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(bytes, 0, size))
                            .toString();
        } catch (CharacterCodingException e) {
            throw new CorruptedFrameException("a header is not UTF-8");
        }
        int colon = text.indexOf(':');
        if (colon <= 0 || text.indexOf('\0') >= 0) {
            throw new CorruptedFrameException("a header needs a name, a colon and no NUL");
        }
        // CONNECT and CONNECTED frames do not use escapes, for compatibility with peers of version
        // 1.0 (specification, "Value Encoding")
        boolean withoutEscapes =
                command == StompCommand.CONNECT || command == StompCommand.CONNECTED;
        String name = text.substring(0, colon);
        String value = text.substring(colon + 1);
        headers.add(
                Map.entry(
                        withoutEscapes ? name : unescape(name),
                        withoutEscapes ? value : unescape(value)));
    }

    private static String unescape(String text) {
        if (text.indexOf('\\') < 0) {
            return text;
        }
        StringBuilder unescaped = new StringBuilder(text.length());
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character != '\\') {
                unescaped.append(character);
                continue;
            }
            char escaped = ++i < text.length() ? text.charAt(i) : ' ';
            switch (escaped) {
                case 'n' -> unescaped.append('\n');
                case 'r' -> unescaped.append('\r');
                case 'c' -> unescaped.append(':');
                case '\\' -> unescaped.append('\\');
                default -> throw new CorruptedFrameException("undefined escape in a header");
            }
        }
        return unescaped.toString();
    }

    /** Returns the value of the {@code content-length} header, or -1 if there is none. */
    private int contentLength() {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equals("content-length")) {
                try {
                    long contentLength = Long.parseLong(header.getValue().trim());
                    if (contentLength > limits.maxBodyBytes()) {
                        throw new TooLongFrameException(
                                "a body of over " + limits.maxBodyBytes() + " octets");
                    }
                    if (contentLength >= 0) {
                        return (int) contentLength;
                    }
                } catch (NumberFormatException e) {
                    // the exception below is thrown instead
                }
                throw new CorruptedFrameException("content-length must be a number of octets");
            }
        }
        return -1;
    }

    private boolean readBody(ByteBuf in, List<Object> out) {
        int size = bodyLength;
        if (size < 0) {
            size = findDelimiter(in, (byte) 0, limits.maxBodyBytes() + 1);
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
        byte[] bytes = ByteBufUtil.getBytes(in, in.readerIndex(), size);
        in.skipBytes(size + 1);
        out.add(new Frame(command, headers, bytes));
        state = State.BETWEEN_FRAMES;
        scannedBytes = 0;
        return true;
    }
}
