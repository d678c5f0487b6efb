package thornferry.decisions.machines;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Compares the failure detector with a model on random sequences of contacts, connect failures and
 * refusals of one machine. The model derives each result from the complete sequence of events.
 */
class FailureDetectorProperties {
    private enum Kind {
        CONTACT,
        CONNECT_FAILURE,
        REFUSAL,
        REFUSAL_WHILE_CONNECTED
    }

    private record Event(Kind kind, long atMicros) {}

    @Property(tries = 500, seed = "20261205")
    void dependsOnlyOnFailuresSinceLastContact(@ForAll long seed) {
        Random random = new Random(seed);
        FailureDetector detector = new FailureDetector();
        List<Event> events = new ArrayList<>();
        long nowMicros = 0;
        for (int i = 0; i < 200; i++) {
            nowMicros +=
                    random.nextInt(4) == 0 ? random.nextInt(4_000_000) : random.nextInt(150_000);
            if (random.nextInt(40) == 0) {
                detector.remove("a");
                events.clear();
                assertThat(detector.hasContact("a")).isFalse();
            }
            Kind kind =
                    Kind.values()[
                            random.nextInt(10) == 0 ? random.nextInt(2) : 1 + random.nextInt(3)];
            events.add(new Event(kind, nowMicros));
            switch (kind) {
                case CONTACT -> detector.recordContact("a", nowMicros);
                case CONNECT_FAILURE -> detector.recordConnectFailure("a", nowMicros);
                default -> {
                    boolean connected = kind == Kind.REFUSAL_WHILE_CONNECTED;
                    boolean expectedFailure =
                            !connected
                                    && nowMicros - firstMicros(events, Kind.REFUSAL, true)
                                            >= 200_000;
                    assertThat(detector.recordRefusal("a", nowMicros, connected))
                            .as("refused at " + nowMicros)
                            .isEqualTo(expectedFailure);
                }
            }
            long laterMicros = nowMicros + random.nextInt(8_000_000);
            long failingMicros = laterMicros - firstMicros(events, Kind.CONNECT_FAILURE, false);
            long lastContactMicros = 0;
            for (Event event : events) {
                lastContactMicros =
                        event.kind() == Kind.CONTACT ? event.atMicros() : lastContactMicros;
            }
            assertThat(detector.isLost("a", laterMicros))
                    .isEqualTo(
                            failingMicros >= 1_000_000
                                    && laterMicros - lastContactMicros >= 6_000_000);
            assertThat(detector.isUnreachable("a", laterMicros))
                    .isEqualTo(failingMicros >= 2_000_000);
        }
    }

    /**
     * Returns the time of the first event of this kind since the last contact and, if {@code
     * resetWhileConnected}, since the last refusal with another connection open.
     */
    private static long firstMicros(List<Event> events, Kind kind, boolean resetWhileConnected) {
        long first = Long.MAX_VALUE / 2;
        for (Event event : events) {
            if (event.kind() == Kind.CONTACT
                    || (resetWhileConnected && event.kind() == Kind.REFUSAL_WHILE_CONNECTED)) {
                first = Long.MAX_VALUE / 2;
            } else if (event.kind() == kind) {
                first = Math.min(first, event.atMicros());
            }
        }
        return first;
    }
}
