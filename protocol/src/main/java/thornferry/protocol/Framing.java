package thornferry.protocol;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.MessageToMessageEncoder;
import io.netty.handler.codec.stomp.DefaultStompFrame;
import io.netty.handler.codec.stomp.StompSubframeEncoder;
import java.util.List;

/**
 * The Netty handlers that convert bytes to {@link Frame} objects and back. Frames are encoded by
 * Netty's STOMP encoder and decoded by {@link FrameDecoder}, since Netty's decoder loses headers
 * when a frame arrives in pieces and accepts input that the specification forbids.
 */
public final class Framing {
    private Framing() {}

    /** Adds the frame decoder and encoders at the end of a pipeline. */
    public static void install(ChannelPipeline pipeline, FrameLimits limits) {
        pipeline.addLast("frameDecoder", new FrameDecoder(limits));
        pipeline.addLast("stompEncoder", new StompSubframeEncoder());
        pipeline.addLast("frameEncoder", new Encoder());
    }

    /**
     * Converts frames for Netty's encoder, adding {@code content-length} to every frame with a body
     * so that bodies may contain NUL.
     */
    private static final class Encoder extends MessageToMessageEncoder<Frame> {
        @Override
        protected void encode(ChannelHandlerContext ctx, Frame frame, List<Object> out) {
            DefaultStompFrame stompFrame =
                    new DefaultStompFrame(frame.command(), Unpooled.wrappedBuffer(frame.body()));
            frame.headers()
                    .forEach(
                            header -> stompFrame.headers().add(header.getKey(), header.getValue()));
            if (frame.body().length > 0 && frame.header("content-length") == null) {
                stompFrame.headers().add("content-length", Integer.toString(frame.body().length));
            }
            out.add(stompFrame);
        }
    }
}
