package thornferry.protocol;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Sends heartbeats and checks for those of the peer on one connection. It comes before framing in
 * the pipeline, since any byte counts as a sign of life, also one within a long frame. A silent
 * peer is reported as {@link PeerSilent}.
 */
final class HeartbeatHandler extends ChannelDuplexHandler {
    /** A user event: the peer was silent for longer than negotiated and the margin. */
    enum PeerSilent {
        INSTANCE
    }

    /**
     * A peer may be late by its own interval once more, since timers and the network both take
     * time.
     */
    private static final int MARGIN_PERCENT = 100;

    private Future<?> sendTimer;
    private Future<?> receiveTimer;
    private Liveness liveness;
    private long writtenAtMicros;

    static long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    /** Starts both directions, replacing earlier timers; an interval of 0 disables one. */
    void start(ChannelHandlerContext ctx, int sendIntervalMillis, int receiveIntervalMillis) {
        stop();
        writtenAtMicros = nowMicros();
        if (sendIntervalMillis > 0) {
            // checked twice an interval: after a write just behind a check, almost two intervals
            // would otherwise pass without a heartbeat
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

    /** The same on the handler of this type in a pipeline. */
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
        if (nowMicros() - writtenAtMicros >= idleMicros && ctx.channel().isWritable()) {
            writtenAtMicros = nowMicros();
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
        writtenAtMicros = nowMicros();
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
