package thornferry.placer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.slf4j.helpers.NOPLogger;
import thornferry.decisions.placement.Placement;

class PolicyExecutorTest {
    private static final long TIMER_DELAY_MICROS = 30_000;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final List<String> observed = new CopyOnWriteArrayList<>();

    @AfterEach
    void shutDownLoop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private PolicyExecutor executor(
            BiConsumer<Placement.Event, Consumer<Placement.Action>> policy,
            Consumer<Placement.Action> actionHandler) {
        return executor(
                Clock.system(),
                (now, event, actions) -> policy.accept(event, actions),
                actionHandler);
    }

    private PolicyExecutor executor(
            Clock clock, Placement policy, Consumer<Placement.Action> actions) {
        return new PolicyExecutor(
                policy,
                loop,
                clock,
                actions,
                requestId -> observed.add("failed " + requestId),
                NOPLogger.NOP_LOGGER,
                "p");
    }

    private static Placement.ClientDisconnected disconnected(String requestId) {
        return new Placement.ClientDisconnected(requestId);
    }

    @Test
    void queuesEventsCausedByActionsUntilPolicyReturns() {
        AtomicReference<PolicyExecutor> executor = new AtomicReference<>();
        executor.set(
                executor(
                        (event, actions) -> {
                            observed.add("enter " + event);
                            if (event.equals(disconnected("a"))) {
                                actions.accept(new Placement.Fail("a"));
                            }
                            observed.add("exit " + event);
                        },
                        action -> executor.get().accept(disconnected("b"))));
        executor.get().accept(disconnected("a"));
        assertThat(observed)
                .containsExactly(
                        "enter " + disconnected("a"),
                        "exit " + disconnected("a"),
                        "enter " + disconnected("b"),
                        "exit " + disconnected("b"));
    }

    @Test
    void failsOnlyTheRequestOnWhichPolicyThrows() {
        PolicyExecutor executor =
                executor(
                        (event, actions) -> {
                            if (event instanceof Placement.PlacementRequested) {
                                throw new IllegalStateException("exception of the policy");
                            }
                            observed.add("processed " + event);
                        },
                        action -> {});
        executor.accept(
                new Placement.PlacementRequested(
                        new Placement.PlacementRequest(
                                "q1", "c", "", "t", 1, 0, "s", 1, 1, false)));
        executor.accept(disconnected("q2"));
        assertThat(observed).containsExactly("failed q1", "processed " + disconnected("q2"));
        assertThat(executor.failures()).isEqualTo(1);
    }

    @Test
    void firesTimersNoEarlierThanSet() throws InterruptedException {
        Clock clock = Clock.system();
        long timerMicros = clock.now() + TIMER_DELAY_MICROS;
        CountDownLatch fired = new CountDownLatch(1);
        AtomicLong firedAtMicros = new AtomicLong();
        Placement policy =
                (now, event, actions) -> {
                    if (event instanceof Placement.TimerFired) {
                        firedAtMicros.set(now);
                        fired.countDown();
                    } else {
                        actions.accept(new Placement.SetTimer(timerMicros, 3));
                    }
                };
        PolicyExecutor executor = executor(clock, policy, action -> {});
        loop.execute(() -> executor.accept(disconnected("x")));
        assertThat(fired.await(10, TimeUnit.SECONDS)).isTrue();
        assertThat(firedAtMicros.get()).isGreaterThanOrEqualTo(timerMicros);
    }
}
