package thornferry.testbed.capture;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Framing;

/** Passes on the bytes of one direction of a proxied connection and records their frames. */
final class ForwardingHandler extends ChannelInboundHandlerAdapter {
    private static final int MAX_HEADER_LINE_BYTES = 1 << 20;
    private static final int MAX_HEADERS = 10_000;
    private static final int MAX_BODY_BYTES = 1 << 26;
    private static final int MAX_UNWRITTEN_BYTES = 1 << 26;

    /** Wide enough for frames that a placer rejects as too large. */
    private static final FrameLimits FRAME_LIMITS =
            new FrameLimits(
                    MAX_HEADER_LINE_BYTES, MAX_HEADERS, MAX_BODY_BYTES, MAX_UNWRITTEN_BYTES);

    private final ProxiedConnection connection;
    private final Direction direction;
    private final Capture capture;
    private final EmbeddedChannel decoder = new EmbeddedChannel();
    private Channel destination;
    private boolean decodable = true;

    ForwardingHandler(ProxiedConnection connection, Direction direction, Capture capture) {
        this.connection = connection;
        this.direction = direction;
        this.capture = capture;
        Framing.install(decoder.pipeline(), FRAME_LIMITS);
    }

    /** Sets where the bytes go; to be called before the first of them is read. */
    void forwardTo(Channel channel) {
        destination = channel;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        ByteBuf bytes = (ByteBuf) msg;
        if (connection.isClosed() || connection.isHalfOpen()) {
            bytes.release();
        } else if (connection.isCutOnNextRead()) {
            forwardHalfAndClose(bytes);
        } else {
            record(bytes);
            destination.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
    }

    /** The receiver sees the beginning of a frame and then the end of the connection. */
    private void forwardHalfAndClose(ByteBuf bytes) {
        ByteBuf firstHalf = bytes.readRetainedSlice(bytes.readableBytes() / 2);
        bytes.release();
        record(firstHalf);
        destination.writeAndFlush(firstHalf).addListener(done -> connection.close());
    }

    private void record(ByteBuf bytes) {
        if (!decodable) {
            return;
        }
        try {
            decoder.writeInbound(Unpooled.copiedBuffer(bytes));
            for (Frame frame = decoder.readInbound();
                    frame != null;
                    frame = decoder.readInbound()) {
                capture.writeFrame(connection.number(), connection.placer(), direction, frame);
            }
        } catch (RuntimeException e) {
            // a sender of garbage: it is passed on, but no frame can be told from here on
            decodable = false;
        }
    }

    /** Frees what was read of a frame that is not complete; it is not recorded. */
    void releaseIncompleteFrame() {
        decoder.releaseInbound();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connection.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        connection.close();
    }
}
