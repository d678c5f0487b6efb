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

/** Forwards the bytes of one direction of a proxied connection and records the frames in them. */
final class ForwardingHandler extends ChannelInboundHandlerAdapter {
    private static final int MAX_HEADER_LINE_BYTES = 1 << 20;
    private static final int MAX_HEADERS = 10_000;
    private static final int MAX_BODY_BYTES = 1 << 26;
    private static final int MAX_UNWRITTEN_BYTES = 1 << 26;

    /** Limits that also admit frames that a placer rejects as too large. */
    private static final FrameLimits FRAME_LIMITS =
            new FrameLimits(
                    MAX_HEADER_LINE_BYTES, MAX_HEADERS, MAX_BODY_BYTES, MAX_UNWRITTEN_BYTES);

    private final ProxiedConnection connection;
    private final Direction direction;
    private final Capture capture;
    private final EmbeddedChannel decoder = new EmbeddedChannel();
    private Channel targetChannel;
    private boolean decodable = true;

    ForwardingHandler(ProxiedConnection connection, Direction direction, Capture capture) {
        this.connection = connection;
        this.direction = direction;
        this.capture = capture;
        Framing.install(decoder.pipeline(), FRAME_LIMITS);
    }

    /** Sets the channel that receives the bytes. Must be called before the first byte is read. */
    void forwardTo(Channel channel) {
        targetChannel = channel;
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
            targetChannel.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
    }

    /** Forwards the first half of the bytes, so that the connection ends within a frame. */
    private void forwardHalfAndClose(ByteBuf bytes) {
        ByteBuf firstHalf = bytes.readRetainedSlice(bytes.readableBytes() / 2);
        bytes.release();
        record(firstHalf);
        targetChannel.writeAndFlush(firstHalf).addListener(future -> connection.close());
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
            // the sender violates the protocol: its bytes are still forwarded, but no longer
            // decoded
            decodable = false;
        }
    }

    /** Releases the bytes of an incomplete frame, which is not recorded. */
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
