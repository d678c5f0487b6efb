package thornferry.decisions.clients;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import thornferry.decisions.clients.PendingReleases.Delivery;
import thornferry.decisions.clients.PendingReleases.Kind;
import thornferry.decisions.clients.PendingReleases.Release;

/** Random interleavings of connects, closes, tasks, ends and acknowledgements of clients. */
class PendingReleasesProperties {
    private static final long LIFETIME_MICROS = 8_000_000;
    private static final int STEPS = 300;

    /** What the clients do and hear. */
    private static final class Clients {
        private final Random random;
        private final Map<Long, Integer> clientByConnection = new HashMap<>(); // open connections
        private final Map<Long, Integer> runningTasks = new HashMap<>();
        private final Map<String, Long> connectionByRunningTask = new HashMap<>();
        private final Map<String, Integer> clientByTask = new HashMap<>();
        private final Map<String, Long> endedAtMicros = new HashMap<>();
        private final Set<String> heard = new HashSet<>();

        /** The tasks whose release is on its way, by connection; lost with it. */
        private final Map<Long, List<String>> unread = new HashMap<>();

        private final PendingReleases releases =
                new PendingReleases(
                        connection -> runningTasks.getOrDefault(connection, 0),
                        new PendingReleases.Limits(1_000, 1_000),
                        LIFETIME_MICROS);
        private final Map<String, String> addressByTask = new HashMap<>();
        private long nowMicros;
        private long lastConnection;
        private int lastTask;

        private Clients(long seed) {
            random = new Random(seed);
        }

        /** Clients 0 and 1 share an address, and so do clients 2 and 3. */
        private static String address(int client) {
            return "10.0.0." + client / 2;
        }

        private void step() {
            nowMicros += random.nextInt(200_000);
            switch (random.nextInt(9)) {
                case 0, 1 -> connect(random.nextInt(4));
                case 2 -> close();
                case 3, 4 -> place();
                case 5 -> end();
                case 6, 7 -> read();
                default -> {
                    releases.checkAcknowledgements(nowMicros).forEach(this::deliver);
                    releases.removeExpired(nowMicros);
                    releases.awaitedConnections(connection -> true);
                }
            }
        }

        private void connect(int client) {
            clientByConnection.put(++lastConnection, client);
            deliver(
                    new Delivery(
                            lastConnection,
                            releases.connectionOpened(lastConnection, address(client))));
        }

        private void close() {
            if (!clientByConnection.isEmpty()) {
                long connection = anyConnection();
                clientByConnection.remove(connection);
                unread.remove(connection);
                releases.connectionClosed(connection).forEach(this::deliver);
            }
        }

        private long anyConnection() {
            List<Long> open = new ArrayList<>(clientByConnection.keySet());
            return open.get(random.nextInt(open.size()));
        }

        private void place() {
            if (!clientByConnection.isEmpty()) {
                long connection = anyConnection();
                String task = "t" + ++lastTask;
                connectionByRunningTask.put(task, connection);
                clientByTask.put(task, clientByConnection.get(connection));
                addressByTask.put(task, address(clientByConnection.get(connection)));
                runningTasks.merge(connection, 1, Integer::sum);
            }
        }

        private void end() {
            List<String> running = new ArrayList<>(connectionByRunningTask.keySet());
            if (running.isEmpty()) {
                return;
            }
            String task = running.get(random.nextInt(running.size()));
            long connection = connectionByRunningTask.remove(task);
            runningTasks.merge(connection, -1, Integer::sum);
            endedAtMicros.put(task, nowMicros);
            Release release =
                    new Release(task, Kind.ENDED, 16, connection, addressByTask.get(task));
            releases.add(release, nowMicros).forEach(this::deliver);
        }

        private void deliver(Delivery delivery) {
            int client = clientByConnection.get(delivery.connection());
            for (Release release : delivery.releases()) {
                assertThat(address(client)).isEqualTo(release.address());
                if (clientByTask.get(release.taskId()) == client) {
                    unread.computeIfAbsent(delivery.connection(), number -> new ArrayList<>())
                            .add(release.taskId());
                }
            }
        }

        /** A client reads what has arrived on a connection. */
        private void read() {
            if (clientByConnection.isEmpty()) {
                return;
            }
            long connection = anyConnection();
            List<String> arrived = unread.remove(connection);
            if (arrived == null) {
                return;
            }
            heard.addAll(arrived);
            if (clientByConnection.get(connection) % 2 == 0) { // the others do not acknowledge
                arrived.forEach(task -> releases.acknowledged(task, connection));
            }
        }

        private boolean hasHeardOrWill(String task) {
            return heard.contains(task)
                    || unread.values().stream().anyMatch(tasks -> tasks.contains(task));
        }

        private void assertConnectedClientsHaveHeard() {
            endedAtMicros.forEach(
                    (task, endMicros) -> {
                        boolean retained = nowMicros - endMicros < LIFETIME_MICROS;
                        boolean connected =
                                clientByConnection.containsValue(clientByTask.get(task));
                        if (retained && connected) {
                            assertThat(hasHeardOrWill(task)).as(task).isTrue();
                        }
                    });
        }
    }

    @Property(tries = 500, seed = "20261206")
    void connectedClientHearsOfEveryEnd(@ForAll long seed) {
        Clients clients = new Clients(seed);
        for (int i = 0; i < STEPS; i++) {
            clients.step();
            clients.assertConnectedClientsHaveHeard();
        }
    }

    @Property(tries = 200, seed = "20261206")
    void retainsNothingForClientsThatHaveGone(@ForAll long seed) {
        Clients clients = new Clients(seed);
        for (int i = 0; i < STEPS; i++) {
            clients.step();
        }
        while (!clients.connectionByRunningTask.isEmpty()) {
            clients.end();
        }
        while (!clients.clientByConnection.isEmpty()) {
            clients.close();
        }
        clients.releases.removeExpired(clients.nowMicros + LIFETIME_MICROS);
        assertThat(clients.releases.awaitedConnections(connection -> true)).isEmpty();
        assertThat(clients.releases.size()).isZero();
        assertThat(clients.releases.addressCount()).isZero();
    }
}
