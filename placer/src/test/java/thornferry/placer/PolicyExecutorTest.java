package thornferry.placer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.slf4j.helpers.NOPLogger;
import thornferry.decisions.placement.Placement;

class PolicyExecutorTest {
    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final List<String> seen = new CopyOnWriteArrayList<>();
    private final List<Placement.Action> actions = new ArrayList<>();

    @AfterEach
    void end() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private PolicyExecutor host(
            BiConsumer<Placement.Event, Consumer<Placement.Action>> module,
            Consumer<Placement.Action> also) {
        Placement placement = (now, event, sink) -> module.accept(event, sink);
        return new PolicyExecutor(
                placement,
                loop,
                Clock.system(),
                action -> {
                    actions.add(action);
                    also.accept(action);
                },
                id -> seen.add("failed " + id),
                NOPLogger.NOP_LOGGER,
                "p");
    }

    private static Placement.ClientDisconnected left(String id) {
        return new Placement.ClientDisconnected(id);
    }

    @Test
    void anEventRaisedByAnActionWaitsUntilTheModuleHasReturned() {
        PolicyExecutor[] host = new PolicyExecutor[1];
        host[0] =
                host(
                        (event, sink) -> {
                            seen.add("in " + event);
                            if (event.equals(left("a"))) {
                                sink.accept(new Placement.Fail("a"));
                            }
                            seen.add("out " + event);
                        },
                        action -> host[0].accept(left("b")));
        host[0].accept(left("a"));
        assertThat(seen)
                .containsExactly(
                        "in " + left("a"),
                        "out " + left("a"),
                        "in " + left("b"),
                        "out " + left("b"));
    }

    @Test
    void aModuleThatThrowsLosesOnlyTheTaskInHand() {
        PolicyExecutor host =
                host(
                        (event, sink) -> {
                            if (event instanceof Placement.PlacementRequested) {
                                throw new IllegalStateException("broken");
                            }
                            seen.add("took " + event);
                        },
                        action -> {});
        host.accept(
                new Placement.PlacementRequested(
                        new Placement.PlacementRequest(
                                "q1", "c", "", "t", 1, 0, "s", 1, 1, false)));
        host.accept(left("q2"));
        assertThat(seen).containsExactly("failed q1", "took " + left("q2"));
        assertThat(host.failures()).isEqualTo(1);
    }

    @Test
    void timersComeNoEarlierThanAsked() throws InterruptedException {
        Clock clock = Clock.system();
        long at = clock.now() + 30_000;
        CountDownLatch fired = new CountDownLatch(1);
        long[] when = new long[1];
        Placement placement =
                (now, event, sink) -> {
                    if (event instanceof Placement.TimerFired) {
                        when[0] = now;
                        fired.countDown();
                    } else {
                        sink.accept(new Placement.SetTimer(at, 3));
                    }
                };
        PolicyExecutor host =
                new PolicyExecutor(
                        placement, loop, clock, actions::add, id -> {}, NOPLogger.NOP_LOGGER, "p");
        loop.execute(() -> host.accept(left("x")));
        assertThat(fired.await(10, TimeUnit.SECONDS)).isTrue();
        assertThat(when[0]).isGreaterThanOrEqualTo(at);
    }
}
