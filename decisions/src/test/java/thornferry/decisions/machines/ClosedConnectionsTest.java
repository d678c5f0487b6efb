package thornferry.decisions.machines;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import thornferry.decisions.machines.ClosedConnections.ClosedConnection;

class ClosedConnectionsTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final ClosedConnection CLOSED = new ClosedConnection(5, "a", SECOND_MICROS);
    private static final long OVERDUE_MICROS = 8 * SECOND_MICROS;

    private final ClosedConnections connections = new ClosedConnections();

    @Test
    void areOverdueOnceIfTheEndpointListDoesNotAnswer() {
        connections.add(CLOSED);
        assertThat(connections.removeOverdue(OVERDUE_MICROS - 1)).isEmpty();
        assertThat(connections.removeOverdue(OVERDUE_MICROS)).containsExactly(CLOSED);
        assertThat(connections.removeOverdue(OVERDUE_MICROS)).isEmpty();
    }

    @Test
    void areForgottenWhenTheEndpointListHasToldOfThem() {
        connections.add(CLOSED);
        connections.endpointListAnswered(6 * SECOND_MICROS);
        assertThat(connections.removeOverdue(OVERDUE_MICROS)).isEmpty();
    }

    /** Guards against a list that answers once more, and is silent when it would have told. */
    @Test
    void areOverdueIfTheEndpointListAnsweredTooEarlyToTell() {
        connections.add(CLOSED);
        connections.endpointListAnswered(6 * SECOND_MICROS - 1);
        assertThat(connections.removeOverdue(OVERDUE_MICROS)).containsExactly(CLOSED);
    }

    @Test
    void areLimitedInNumber() {
        for (int i = 0; i < 5_000; i++) {
            connections.add(new ClosedConnection(i, "a", i));
        }
        assertThat(connections.removeOverdue(OVERDUE_MICROS))
                .hasSize(4_096)
                .last()
                .isEqualTo(new ClosedConnection(4_999, "a", 4_999));
    }
}
