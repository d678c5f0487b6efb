package thornferry.protocol;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Sends heartbeats on one connection and detects a silent peer, which it reports by the user event
 * {@link PeerSilent}. The handler precedes the frame decoder in the pipeline, since any received
 * byte shows that the peer is alive, even one in the middle of a long frame.
 */
final class HeartbeatHandler extends ChannelDuplexHandler {
    /**
     * The user event that the peer was silent for longer than the negotiated interval and margin.
     */
    enum PeerSilent {
        INSTANCE
    }

    /**
     * The margin by which a peer may be late, in percent of the negotiated interval. The margin
     * covers delays of timers and of the network.
     */
    private static final int MARGIN_PERCENT = 100;

    private Future<?> sendTimer;
    private Future<?> receiveTimer;
    private Liveness liveness;
    private long lastWriteMicros;

    static long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    /**
     * Starts the timers of both directions and replaces earlier ones; an interval of 0 disables its
     * direction.
     */
    void start(ChannelHandlerContext ctx, int sendIntervalMillis, int receiveIntervalMillis) {
        stop();
        lastWriteMicros = nowMicros();
        if (sendIntervalMillis > 0) {
            // checked twice per interval: with one check per interval, almost two intervals would
            // pass without a heartbeat if a write occurred just after a check
            long checkIntervalMillis = Math.max(1, sendIntervalMillis / 2);
            sendTimer =
                    ctx.executor()
                            .scheduleAtFixedRate(
                                    () -> sendHeartbeatIfIdle(ctx, sendIntervalMillis * 500L),
                                    checkIntervalMillis,
                                    checkIntervalMillis,
                                    TimeUnit.MILLISECONDS);
        }
        if (receiveIntervalMillis > 0) {
            long intervalMicros = receiveIntervalMillis * 1_000L;
            liveness =
                    new Liveness(
                            intervalMicros, intervalMicros * MARGIN_PERCENT / 100, nowMicros());
            receiveTimer =
                    ctx.executor()
                            .scheduleWithFixedDelay(
                                    () -> checkPeer(ctx),
                                    liveness.checkIntervalMicros(),
                                    liveness.checkIntervalMicros(),
                                    TimeUnit.MICROSECONDS);
        }
    }

    /** Starts the timers of the heartbeat handler in a pipeline, if there is one. */
    static void start(
            io.netty.channel.ChannelPipeline pipeline,
            int sendIntervalMillis,
            int receiveIntervalMillis) {
        ChannelHandlerContext ctx = pipeline.context(HeartbeatHandler.class);
        if (ctx != null) {
            ((HeartbeatHandler) ctx.handler())
                    .start(ctx, sendIntervalMillis, receiveIntervalMillis);
        }
    }

    private void sendHeartbeatIfIdle(ChannelHandlerContext ctx, long idleMicros) {
        if (nowMicros() - lastWriteMicros >= idleMicros && ctx.channel().isWritable()) {
            lastWriteMicros = nowMicros();
            ctx.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {'\n'}));
        }
    }

    private void checkPeer(ChannelHandlerContext ctx) {
        if (liveness != null && liveness.isSilent(nowMicros())) {
            stop();
            ctx.fireUserEventTriggered(PeerSilent.INSTANCE);
        }
    }

    private void stop() {
        if (sendTimer != null) {
            sendTimer.cancel(false);
        }
        if (receiveTimer != null) {
            receiveTimer.cancel(false);
        }
        liveness = null;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (liveness != null) {
            liveness.received(nowMicros());
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        lastWriteMicros = nowMicros();
        ctx.write(message, promise);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        stop();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stop();
        ctx.fireChannelInactive();
    }
}
