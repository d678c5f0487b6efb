package thornferry.decisions.clients;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import thornferry.decisions.clients.PendingReleases.Delivery;
import thornferry.decisions.clients.PendingReleases.Kind;
import thornferry.decisions.clients.PendingReleases.Release;

class PendingReleasesTest {
    private static final String ADDRESS = "10.0.0.1";
    private static final long LIFETIME_MICROS = 8_000_000;

    private final Map<Long, Integer> runningTasks = new HashMap<>();
    private final PendingReleases releases =
            new PendingReleases(
                    connection -> runningTasks.getOrDefault(connection, 0),
                    new PendingReleases.Limits(3, 4),
                    LIFETIME_MICROS);

    private static Release release(String taskId, long placedOn) {
        return new Release(taskId, Kind.ENDED, 16, placedOn, ADDRESS);
    }

    private void open(long... connections) {
        for (long connection : connections) {
            releases.connectionOpened(connection, ADDRESS);
        }
    }

    /** Closes a connection on which a task keeps running. */
    private void loseWithTask(long connection) {
        runningTasks.put(connection, 1);
        assertThat(releases.connectionClosed(connection)).isEmpty();
    }

    /** Ends the task of a connection. */
    private List<Delivery> end(String taskId, long placedOn) {
        runningTasks.remove(placedOn);
        return releases.add(release(taskId, placedOn), 0);
    }

    @Test
    void sendsOnOpenConnectionOfTaskOnly() {
        open(1, 2);
        Release release = release("t", 1);
        assertThat(releases.add(release, 0)).containsExactly(new Delivery(1, List.of(release)));
        assertThat(releases.connectionOpened(3, ADDRESS)).isEmpty();
    }

    @Test
    void sendsOnEveryConnectionOfAddressIfThatOfTaskHasClosed() {
        open(1, 2, 3);
        releases.connectionOpened(4, "10.0.0.2");
        loseWithTask(2);
        List<Release> release = List.of(release("t", 2));
        assertThat(end("t", 2))
                .containsExactlyInAnyOrder(new Delivery(1, release), new Delivery(3, release));
        assertThat(releases.connectionOpened(5, ADDRESS)).isEqualTo(release);
        assertThat(releases.connectionOpened(6, "10.0.0.2")).isEmpty();
    }

    @Test
    void sendsAgainWhatWasSentOnConnectionThatClosesWithoutAcknowledgement() {
        open(1, 2);
        releases.add(release("t", 1), 0);
        releases.add(release("u", 1), 0);
        releases.acknowledged("t", 1);
        assertThat(releases.connectionClosed(1))
                .containsExactly(new Delivery(2, List.of(release("u", 1))));
    }

    @Test
    void acknowledgementOfConnectionWithOtherTasksIsNoProof() {
        open(1, 2, 3);
        loseWithTask(1);
        runningTasks.put(2L, 1);
        end("t", 1);
        releases.acknowledged("t", 2);
        assertThat(releases.connectionOpened(4, ADDRESS)).containsExactly(release("t", 1));
        releases.acknowledged("t", 3);
        assertThat(releases.connectionOpened(5, ADDRESS)).isEmpty();
    }

    @Test
    void sendsOnAllConnectionsIfExpectedAcknowledgementIsMissing() {
        open(1, 2);
        releases.add(release("t", 1), 0);
        releases.acknowledged("t", 1);
        releases.add(release("u", 1), 0);
        assertThat(releases.checkAcknowledgements(499_999)).isEmpty();
        assertThat(releases.checkAcknowledgements(500_000))
                .containsExactly(new Delivery(2, List.of(release("u", 1))));
        List<Release> next = List.of(release("v", 1));
        assertThat(releases.add(next.get(0), 600_000))
                .containsExactlyInAnyOrder(new Delivery(1, next), new Delivery(2, next));
        releases.acknowledged("v", 1); // the connection is not silent any more
        List<Release> last = List.of(release("w", 1));
        assertThat(releases.add(last.get(0), 700_000)).containsExactly(new Delivery(1, last));
    }

    @Test
    void expectsNoAcknowledgementFromClientThatNeverAcknowledges() {
        open(1, 2, 3);
        releases.add(release("t", 1), 0);
        assertThat(releases.checkAcknowledgements(LIFETIME_MICROS - 1)).isEmpty();
        releases.add(release("u", 3), 0);
        releases.acknowledged("u", 3); // another client at the address does
        assertThat(releases.checkAcknowledgements(500_000)).hasSize(2);
        releases.removeExpired(LIFETIME_MICROS);
        releases.add(release("v", 1), LIFETIME_MICROS);
        assertThat(releases.checkAcknowledgements(2 * LIFETIME_MICROS - 1)).isEmpty();
    }

    @Test
    void dropsReleaseOfTaskWhoseIdIsUsedAgain() {
        open(1);
        loseWithTask(1);
        end("t", 1);
        releases.callReceived("t", "10.0.0.2");
        assertThat(releases.connectionOpened(2, ADDRESS)).containsExactly(release("t", 1));
        releases.callReceived("t", ADDRESS);
        assertThat(releases.connectionOpened(3, ADDRESS)).isEmpty();
    }

    @Test
    void returnsExpiredReleasesWhoseConnectionHasClosed() {
        open(1, 2);
        loseWithTask(1);
        end("t", 1);
        releases.add(release("u", 2), 0);
        assertThat(releases.removeExpired(LIFETIME_MICROS - 1)).isEmpty();
        assertThat(releases.removeExpired(LIFETIME_MICROS)).containsExactly(release("t", 1));
        assertThat(releases.size()).isZero();
    }

    @Test
    void retainsUnsentReleasesBesideThoseThatWereSent() {
        open(1, 2);
        loseWithTask(1);
        end("unsent", 1);
        for (int i = 0; i < 10; i++) {
            releases.add(release("sent" + i, 2), 0);
        }
        assertThat(releases.connectionOpened(3, ADDRESS)).containsExactly(release("unsent", 1));
        assertThat(releases.takeDroppedCount()).isEqualTo(7);
        assertThat(releases.takeDroppedCount()).isZero();
    }

    @Test
    void nearestConnectionsToLostOneAreAwaitedWhileItsTaskRunsOrItsReleaseIsPending() {
        open(1, 2, 3, 4, 5);
        assertThat(releases.awaitedConnections(connection -> true)).isEmpty();
        loseWithTask(3);
        assertThat(releases.awaitedConnections(connection -> true)).isEqualTo(Set.of(2L, 4L));
        assertThat(releases.awaitedConnections(connection -> connection != 4))
                .isEqualTo(Set.of(2L, 5L));
        end("t", 3);
        assertThat(releases.awaitedConnections(connection -> true)).isEqualTo(Set.of(2L, 4L));
        releases.acknowledged("t", 4);
        assertThat(releases.awaitedConnections(connection -> true)).isEmpty();
    }

    @Test
    void awaitedConnectionsAreAtMostTwoForEachLostOne() {
        for (long connection = 1; connection <= 300; connection++) {
            open(connection);
        }
        loseWithTask(10);
        loseWithTask(11);
        assertThat(releases.awaitedConnections(connection -> true))
                .isEqualTo(Set.of(8L, 9L, 12L, 13L));
    }

    @Test
    void taskHandedOverOnClosedConnectionIsAwaited() {
        open(2);
        runningTasks.put(1L, 1);
        releases.handedOverOnClosedConnection(1, ADDRESS);
        assertThat(releases.awaitedConnections(connection -> true)).isEqualTo(Set.of(2L));
    }
}
