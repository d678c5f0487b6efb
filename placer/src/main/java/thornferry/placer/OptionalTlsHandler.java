package thornferry.placer;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.ssl.OptionalSslHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;

/**
 * The first handler of a port that speaks TLS. One who comes in plain text is told so, in plain
 * text, and cut off.
 */
final class OptionalTlsHandler extends OptionalSslHandler {
    private static final String TOLD = "ERROR\nmessage:this port speaks TLS 1.3 only\n\n\0\n";

    private final int handshakeMs;

    OptionalTlsHandler(SslContext context, int handshakeMs) {
        super(context);
        this.handshakeMs = handshakeMs;
    }

    @Override
    protected SslHandler newSslHandler(ChannelHandlerContext context, SslContext tls) {
        SslHandler handler = super.newSslHandler(context, tls);
        handler.setHandshakeTimeoutMillis(handshakeMs);
        return handler;
    }

    @Override
    protected ChannelHandler newNonSslHandler(ChannelHandlerContext context) {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void handlerAdded(ChannelHandlerContext ctx) {
                ctx.writeAndFlush(Unpooled.copiedBuffer(TOLD, StandardCharsets.UTF_8))
                        .addListener(ChannelFutureListener.CLOSE);
            }

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ReferenceCountUtil.release(message);
            }
        };
    }
}
