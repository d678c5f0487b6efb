package thornferry.decisions.clients;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongPredicate;
import java.util.function.LongToIntFunction;

/**
 * Decides on which connections a client is notified that its running task is over, and which
 * connections have to stay open for that. This class alone knows which connections may be a
 * client's.
 *
 * <p>No message names a client, and several clients may share an address. Only the connection on
 * which a task was placed or handed over certainly is its client's. While it is open, the release
 * is sent there. Once it has closed, it is <em>lost</em>, and any connection from the same address
 * may be the client's: the release is sent on all of them, and on those that are opened later,
 * until it is acknowledged or expires. Other clients are expected to ignore it.
 *
 * <p>A connection may also be open although nothing arrives on it any more. Clients need not
 * acknowledge releases, so that a missing acknowledgement shows this only where it was to be
 * expected: on a connection on which one came before, or, once, on another one at such a client's
 * address. The connection then counts as lost until an acknowledgement comes on it.
 *
 * <p>While tasks of a lost connection run, or their releases are pending, its client waits on
 * another connection, possibly without sending anything. For each lost connection, the next
 * connection that was opened after it and the last one before it must not be closed as idle. A peer
 * at the same address can thus keep no more than two connections open for each that was lost there.
 *
 * <p>Connections are identified by positive numbers in the order in which they were opened. This
 * class performs no I/O and reads no clock; all times are microseconds.
 */
public final class PendingReleases {
    /**
     * How long the acknowledgement of a release may take. The release has to reach its client
     * within 1 s on another connection.
     */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MICROS = 500_000;

    /** What is known of an open connection from the acknowledgements on it. */
    private enum Liveness {
        /** No acknowledgement has come or was missed. */
        UNKNOWN,
        /** An acknowledgement has come. */
        ACKNOWLEDGES,
        /** Acknowledgements came, and one is missing: the connection counts as lost. */
        SILENT,
        /** The first acknowledgement is missing: the connection counts as lost for now. */
        DOUBTFUL,
        /** The client acknowledges nothing, so that nothing follows from a missing one. */
        NEVER_ACKNOWLEDGES
    }

    /** What a client is told of its task. */
    public enum Kind {
        /** The task has ended. */
        ENDED,
        /** The task was stopped and is to be placed again. */
        MIGRATED
    }

    /**
     * A notification that a running task is over.
     *
     * @param cause the cause code of the end; not used if the task is migrated
     * @param placedOn the number of the connection on which the task was placed or handed over
     * @param address the client's address, without its port
     */
    public record Release(String taskId, Kind kind, int cause, long placedOn, String address) {}

    /** Releases that are to be sent on a connection, in this order. */
    public record Delivery(long connection, List<Release> releases) {}

    /**
     * The maximum numbers of retained releases; beyond them, the oldest is dropped.
     *
     * @param maxSent releases sent on the connection of their task
     * @param maxUnconfirmed releases whose task's connection has closed
     */
    public record Limits(int maxSent, int maxUnconfirmed) {}

    private record Pending(Release release, long addedAtMicros) {}

    /** The connections and releases of the clients at one address. */
    private static final class ClientAddress {
        private final NavigableSet<Long> openConnections = new TreeSet<>();
        private final NavigableSet<Long> lostConnections = new TreeSet<>();

        /** The releases whose task's connection has closed, by task id, the oldest first. */
        private final Map<String, Release> unconfirmed = new LinkedHashMap<>();

        /** Whether an acknowledgement has come from this address. */
        private boolean acknowledges;

        private boolean isEmpty() {
            return openConnections.isEmpty() && lostConnections.isEmpty() && unconfirmed.isEmpty();
        }
    }

    private final LongToIntFunction runningTasks;
    private final Limits limits;
    private final long lifetimeMicros;
    private final Map<String, ClientAddress> addresses = new HashMap<>();
    private final Map<Long, String> addressByConnection = new HashMap<>(); // open connections
    private final Map<Long, Liveness> livenessByConnection = new HashMap<>(); // open connections
    private final Set<String> addressesWithLostConnections = new LinkedHashSet<>();

    /** The releases sent on the connection of their task, by task id, the oldest first. */
    private final Map<String, Pending> sent = new LinkedHashMap<>();

    private final Map<Long, Set<String>> sentIdsByConnection = new HashMap<>();

    /** The releases whose task's connection has closed, by task id. */
    private final Map<String, Pending> unconfirmed = new LinkedHashMap<>();

    private int droppedCount;

    /**
     * @param runningTasks returns the number of running tasks that were placed or handed over on
     *     the connection, which may have closed
     * @param lifetimeMicros how long a release is retained
     */
    public PendingReleases(LongToIntFunction runningTasks, Limits limits, long lifetimeMicros) {
        this.runningTasks = runningTasks;
        this.limits = limits;
        this.lifetimeMicros = lifetimeMicros;
    }

    // ---- connections ----

    /** Adds an open connection, and returns the releases to send on it. */
    public List<Release> connectionOpened(long connection, String address) {
        ClientAddress client = address(address);
        client.openConnections.add(connection);
        addressByConnection.put(connection, address);
        livenessByConnection.put(connection, Liveness.UNKNOWN);
        return List.copyOf(client.unconfirmed.values());
    }

    /**
     * Removes a connection that has closed. The releases that were sent on it may not have arrived.
     *
     * @return what is to be sent on other connections
     */
    public List<Delivery> connectionClosed(long connection) {
        String address = addressByConnection.remove(connection);
        if (address == null) {
            return List.of();
        }
        ClientAddress client = address(address);
        client.openConnections.remove(connection);
        livenessByConnection.remove(connection);
        List<Release> undelivered = moveSentToUnconfirmed(connection, client);
        if (!undelivered.isEmpty() || runningTasks.applyAsInt(connection) > 0) {
            addLost(client, address, connection);
        }
        removeIfEmpty(address);
        return deliverToAll(client, undelivered);
    }

    private List<Release> moveSentToUnconfirmed(long connection, ClientAddress client) {
        List<Release> undelivered = new ArrayList<>();
        for (String taskId : sentIdsByConnection.getOrDefault(connection, Set.of())) {
            Pending pending = sent.remove(taskId);
            undelivered.add(pending.release());
            addUnconfirmed(client, pending);
        }
        sentIdsByConnection.remove(connection);
        return undelivered;
    }

    /**
     * Looks for open connections on which an expected acknowledgement is missing. To be called
     * several times a second.
     *
     * @return what is to be sent on other connections
     */
    public List<Delivery> checkAcknowledgements(long nowMicros) {
        Set<Long> silent = new LinkedHashSet<>();
        for (Pending pending : sent.values()) {
            if (nowMicros - pending.addedAtMicros() < ACKNOWLEDGEMENT_TIMEOUT_MICROS) {
                break;
            }
            if (isAcknowledgementExpected(pending.release())) {
                silent.add(pending.release().placedOn());
            }
        }
        List<Delivery> deliveries = new ArrayList<>();
        silent.forEach(connection -> deliveries.addAll(markSilent(connection)));
        return deliveries;
    }

    private boolean isAcknowledgementExpected(Release release) {
        return switch (livenessByConnection.get(release.placedOn())) {
            case ACKNOWLEDGES -> true;
            case UNKNOWN -> address(release.address()).acknowledges;
            case SILENT, DOUBTFUL, NEVER_ACKNOWLEDGES -> false;
        };
    }

    private List<Delivery> markSilent(long connection) {
        String address = addressByConnection.get(connection);
        ClientAddress client = address(address);
        boolean hasAcknowledged = livenessByConnection.get(connection) == Liveness.ACKNOWLEDGES;
        livenessByConnection.put(connection, hasAcknowledged ? Liveness.SILENT : Liveness.DOUBTFUL);
        addLost(client, address, connection);
        return deliverToAll(client, moveSentToUnconfirmed(connection, client)).stream()
                .filter(delivery -> delivery.connection() != connection)
                .toList();
    }

    /** Returns whether releases arrive on a connection, as far as is known. */
    private boolean isUsable(long connection) {
        Liveness liveness = livenessByConnection.get(connection);
        return liveness != null && liveness != Liveness.SILENT && liveness != Liveness.DOUBTFUL;
    }

    /** Records a running task that was handed over on a connection which has closed by now. */
    public void handedOverOnClosedConnection(long connection, String address) {
        addLost(address(address), address, connection);
    }

    private void addLost(ClientAddress client, String address, long connection) {
        client.lostConnections.add(connection);
        addressesWithLostConnections.add(address);
    }

    /**
     * Returns the connections that have to stay open because a client whose connection was lost may
     * wait on them.
     *
     * @param isClosable whether a connection would be closed otherwise
     */
    public Set<Long> awaitedConnections(LongPredicate isClosable) {
        Set<Long> awaited = new HashSet<>();
        for (String name : List.copyOf(addressesWithLostConnections)) {
            ClientAddress client = addresses.get(name);
            removeSettledConnections(client, name);
            addNearest(client, isClosable, awaited);
        }
        return awaited;
    }

    private static void addNearest(
            ClientAddress client, LongPredicate isClosable, Set<Long> awaited) {
        if (client.lostConnections.isEmpty()) {
            return;
        }
        NavigableSet<Long> closable = new TreeSet<>();
        client.openConnections.stream().filter(isClosable::test).forEach(closable::add);
        for (Long lost : client.lostConnections) {
            moveTo(awaited, closable, closable.higher(lost));
        }
        for (Long lost : client.lostConnections.descendingSet()) {
            moveTo(awaited, closable, closable.lower(lost));
        }
    }

    private static void moveTo(Set<Long> awaited, Set<Long> closable, Long connection) {
        if (connection != null) {
            closable.remove(connection);
            awaited.add(connection);
        }
    }

    /** Forgets the lost connections whose tasks are over and whose releases are not pending. */
    private void removeSettledConnections(ClientAddress client, String address) {
        Set<Long> withReleases = new HashSet<>();
        client.unconfirmed.values().forEach(release -> withReleases.add(release.placedOn()));
        client.lostConnections.removeIf(
                lost -> !withReleases.contains(lost) && runningTasks.applyAsInt(lost) == 0);
        if (client.lostConnections.isEmpty()) {
            addressesWithLostConnections.remove(address);
            removeIfEmpty(address);
        }
    }

    // ---- releases ----

    /** Adds a release, and returns on which connections it is to be sent. */
    public List<Delivery> add(Release release, long nowMicros) {
        remove(release.taskId());
        Pending pending = new Pending(release, nowMicros);
        if (isUsable(release.placedOn())) {
            addSent(pending);
            return List.of(new Delivery(release.placedOn(), List.of(release)));
        }
        ClientAddress client = address(release.address());
        addUnconfirmed(client, pending);
        addLost(client, release.address(), release.placedOn());
        return deliverToAll(client, List.of(release));
    }

    private void addSent(Pending pending) {
        Release release = pending.release();
        sent.put(release.taskId(), pending);
        sentIdsByConnection
                .computeIfAbsent(release.placedOn(), connection -> new LinkedHashSet<>())
                .add(release.taskId());
        dropOldestAbove(limits.maxSent(), sent);
    }

    private void addUnconfirmed(ClientAddress client, Pending pending) {
        String taskId = pending.release().taskId();
        unconfirmed.put(taskId, pending);
        client.unconfirmed.put(taskId, pending.release());
        dropOldestAbove(limits.maxUnconfirmed(), unconfirmed);
    }

    private void dropOldestAbove(int limit, Map<String, Pending> pendingById) {
        if (pendingById.size() > limit) {
            droppedCount++;
            remove(pendingById.keySet().iterator().next());
        }
    }

    private static List<Delivery> deliverToAll(ClientAddress client, List<Release> releases) {
        if (releases.isEmpty()) {
            return List.of();
        }
        return client.openConnections.stream()
                .map(connection -> new Delivery(connection, releases))
                .toList();
    }

    /**
     * Handles a client's acknowledgement of a release. Where it comes from a connection on which
     * tasks run, but not this one, it may be another client's, and the release is still sent on
     * connections that are opened later.
     */
    public void acknowledged(String taskId, long connection) {
        Pending pending = sent.getOrDefault(taskId, unconfirmed.get(taskId));
        if (pending == null) {
            return;
        }
        if (pending.release().placedOn() == connection && isOpen(connection)) {
            livenessByConnection.put(connection, Liveness.ACKNOWLEDGES);
            address(pending.release().address()).acknowledges = true;
            remove(taskId);
        } else if (!unconfirmed.containsKey(taskId) || runningTasks.applyAsInt(connection) == 0) {
            remove(taskId);
        }
    }

    private boolean isOpen(long connection) {
        return addressByConnection.containsKey(connection);
    }

    /**
     * Drops the release of a client's previous task with the id of a new call. The client would
     * mistake it for the answer to the call.
     */
    public void callReceived(String taskId, String address) {
        Pending pending = sent.getOrDefault(taskId, unconfirmed.get(taskId));
        if (pending != null && pending.release().address().equals(address)) {
            remove(taskId);
        }
    }

    /**
     * Drops the expired releases, and returns those that could not be sent on the connection of
     * their task.
     */
    public List<Release> removeExpired(long nowMicros) {
        expired(sent.values(), nowMicros).forEach(release -> remove(release.taskId()));
        List<Release> unsent = expired(unconfirmed.values(), nowMicros);
        for (Release release : unsent) {
            remove(release.taskId());
            livenessByConnection.replace(
                    release.placedOn(), Liveness.DOUBTFUL, Liveness.NEVER_ACKNOWLEDGES);
        }
        return unsent;
    }

    private List<Release> expired(Collection<Pending> pending, long nowMicros) {
        return pending.stream()
                .filter(candidate -> nowMicros - candidate.addedAtMicros() >= lifetimeMicros)
                .map(Pending::release)
                .toList();
    }

    /** Returns how many releases were dropped because of the limits since the last call. */
    public int takeDroppedCount() {
        int dropped = droppedCount;
        droppedCount = 0;
        return dropped;
    }

    /** Returns whether a release is still to reach its client. */
    public boolean isRetained(Release release) {
        Pending pending = sent.getOrDefault(release.taskId(), unconfirmed.get(release.taskId()));
        return pending != null && pending.release().equals(release);
    }

    /** Returns the number of retained releases. */
    public int size() {
        return sent.size() + unconfirmed.size();
    }

    /** Returns the number of addresses with connections or retained releases. */
    int addressCount() {
        return addresses.size();
    }

    private void remove(String taskId) {
        Pending removed = sent.remove(taskId);
        if (removed != null) {
            removeSentId(removed.release());
        }
        removed = unconfirmed.remove(taskId);
        if (removed != null) {
            String address = removed.release().address();
            address(address).unconfirmed.remove(taskId);
            removeIfEmpty(address);
        }
    }

    private void removeSentId(Release release) {
        Set<String> ids = sentIdsByConnection.get(release.placedOn());
        ids.remove(release.taskId());
        if (ids.isEmpty()) {
            sentIdsByConnection.remove(release.placedOn());
        }
    }

    // ---- addresses ----

    private ClientAddress address(String address) {
        return addresses.computeIfAbsent(address, name -> new ClientAddress());
    }

    private void removeIfEmpty(String address) {
        ClientAddress client = addresses.get(address);
        if (client != null && client.isEmpty()) {
            addresses.remove(address);
        }
    }
}
