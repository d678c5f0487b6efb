package thornferry.protocol;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Beats and listens on one connection. It stands outside framing, since any octet counts as a sign
 * of life, also one in the middle of a long frame. A peer found silent is reported as {@link
 * PeerSilent}.
 */
final class HeartbeatHandler extends ChannelDuplexHandler {
    /** A user event: the peer was silent beyond what was agreed and its margin. */
    enum PeerSilent {
        INSTANCE
    }

    /**
     * A peer may be late by its own interval once more: timers and the way there both cost time.
     */
    private static final int MARGIN_PERCENT = 100;

    private Future<?> beating;
    private Future<?> listening;
    private Liveness liveness;
    private long wroteAt;

    static long micros() {
        return System.nanoTime() / 1_000;
    }

    /** Starts both directions; 0 leaves one out. Called again, it replaces what ran before. */
    void start(ChannelHandlerContext ctx, int sendEveryMs, int hearEveryMs) {
        stop();
        wroteAt = micros();
        if (sendEveryMs > 0) {
            // looked at twice an interval: a write just after a look would else leave almost two
            // without a beat
            long every = Math.max(1, sendEveryMs / 2);
            beating =
                    ctx.executor()
                            .scheduleAtFixedRate(
                                    () -> beat(ctx, sendEveryMs * 500L),
                                    every,
                                    every,
                                    TimeUnit.MILLISECONDS);
        }
        if (hearEveryMs > 0) {
            long interval = hearEveryMs * 1_000L;
            liveness = new Liveness(interval, interval * MARGIN_PERCENT / 100, micros());
            listening =
                    ctx.executor()
                            .scheduleWithFixedDelay(
                                    () -> look(ctx),
                                    liveness.lookEvery(),
                                    liveness.lookEvery(),
                                    TimeUnit.MICROSECONDS);
        }
    }

    /** The same on the handler of this type in a pipeline. */
    static void start(io.netty.channel.ChannelPipeline pipeline, int sendEveryMs, int hearEveryMs) {
        ChannelHandlerContext ctx = pipeline.context(HeartbeatHandler.class);
        if (ctx != null) {
            ((HeartbeatHandler) ctx.handler()).start(ctx, sendEveryMs, hearEveryMs);
        }
    }

    private void beat(ChannelHandlerContext ctx, long idle) {
        if (micros() - wroteAt >= idle && ctx.channel().isWritable()) {
            wroteAt = micros();
            ctx.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {'\n'}));
        }
    }

    private void look(ChannelHandlerContext ctx) {
        if (liveness != null && liveness.silent(micros())) {
            stop();
            ctx.fireUserEventTriggered(PeerSilent.INSTANCE);
        }
    }

    private void stop() {
        if (beating != null) {
            beating.cancel(false);
        }
        if (listening != null) {
            listening.cancel(false);
        }
        liveness = null;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (liveness != null) {
            liveness.heard(micros());
        }
        ctx.fireChannelRead(msg);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
        wroteAt = micros();
        ctx.write(msg, promise);
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
