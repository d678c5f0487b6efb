package thornferry.protocol;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.MessageToMessageEncoder;
import io.netty.handler.codec.stomp.DefaultStompFrame;
import io.netty.handler.codec.stomp.StompSubframeEncoder;
import java.util.List;

/**
 * Framing, from bytes to {@link Frame} and back. Writing is Netty's; reading is {@link
 * FrameDecoder}, since Netty's loses headers when a frame arrives in pieces and accepts what the
 * specification forbids.
 */
public final class Framing {
    private Framing() {}

    /** Adds framing at the end of a pipeline. */
    public static void install(ChannelPipeline pipeline, FrameLimits limits) {
        pipeline.addLast("frameDecoder", new FrameDecoder(limits));
        pipeline.addLast("stompEncoder", new StompSubframeEncoder());
        pipeline.addLast("frameEncoder", new Encoder());
    }

    /** Writes {@code content-length} on every frame with a body, so that bodies may hold NUL. */
    private static final class Encoder extends MessageToMessageEncoder<Frame> {
        @Override
        protected void encode(ChannelHandlerContext ctx, Frame frame, List<Object> out) {
            DefaultStompFrame stomp =
                    new DefaultStompFrame(frame.command(), Unpooled.wrappedBuffer(frame.body()));
            frame.headers().forEach(h -> stomp.headers().add(h.getKey(), h.getValue()));
            if (frame.body().length > 0 && frame.header("content-length") == null) {
                stomp.headers().add("content-length", Integer.toString(frame.body().length));
            }
            out.add(stomp);
        }
    }
}
