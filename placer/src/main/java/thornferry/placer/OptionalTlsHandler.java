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
 * The first handler of a TLS port. A peer that connects in plain text receives an ERROR frame in
 * plain text, and the connection is closed.
 */
final class OptionalTlsHandler extends OptionalSslHandler {
    private static final String PLAIN_TEXT_REJECTED =
            "ERROR\nmessage:this port speaks TLS 1.3 only\n\n\0\n";

    private final int handshakeTimeoutMillis;

    OptionalTlsHandler(SslContext context, int handshakeTimeoutMillis) {
        super(context);
        this.handshakeTimeoutMillis = handshakeTimeoutMillis;
    }

    @Override
    protected SslHandler newSslHandler(ChannelHandlerContext context, SslContext sslContext) {
        SslHandler handler = super.newSslHandler(context, sslContext);
        handler.setHandshakeTimeoutMillis(handshakeTimeoutMillis);
        return handler;
    }

    @Override
    protected ChannelHandler newNonSslHandler(ChannelHandlerContext context) {
        return new PlainTextRejectionHandler();
    }

    private static final class PlainTextRejectionHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            context.writeAndFlush(
                            Unpooled.copiedBuffer(PLAIN_TEXT_REJECTED, StandardCharsets.UTF_8))
                    .addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }
    }
}
