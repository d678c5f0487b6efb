package thornferry.decisions.membership;

import thornferry.decisions.membership.Membership.MachineView;
import thornferry.decisions.membership.Membership.Registration;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineState;

/**
 * Membership state of one machine: its current incarnation, its connection, its drain and its flap
 * quarantine. The package description lists the transitions.
 */
final class MemberMachine {
    /** State of the machine's connection. */
    private enum ConnectionState {
        CONNECTED,
        /** Without a connection, for less than {@link Membership.Limits#goneAfterMicros}. */
        DISCONNECTED,
        /** The incarnation was declared ended for lack of a connection. */
        LOST
    }

    /** List weight of every machine. */
    private static final double DEFAULT_WEIGHT = 1;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final FlapQuarantine quarantine;
    private Registration registration;
    private long startedAtMicros;
    private long registeredAtMicros;
    private ConnectionState connectionState = ConnectionState.CONNECTED;
    private long connection;
    private long disconnectedAtMicros;
    private boolean draining;
    private MachineState publishedState = MachineState.GONE;

    /** A machine that registers for the first time. */
    MemberMachine(
            long nowMicros, long connection, Registration registration, Membership.Limits limits) {
        this.quarantine = new FlapQuarantine(limits);
        startIncarnation(nowMicros, registration);
        connect(nowMicros, connection, registration);
    }

    private void startIncarnation(long nowMicros, Registration first) {
        startedAtMicros = Math.max(1, nowMicros - first.uptimeMicros());
    }

    /**
     * Registers again on a connection, in the same incarnation or a later one.
     *
     * <p>The start time is computed once for each incarnation: uptimes are rounded and delayed on
     * the way, and a start time that moved would look like a restart to the placement policy.
     */
    void registerAgain(long nowMicros, long newConnection, Registration newRegistration) {
        if (isSupersededBy(newRegistration)) {
            startIncarnation(nowMicros, newRegistration);
        }
        connect(nowMicros, newConnection, newRegistration);
    }

    private void connect(long nowMicros, long newConnection, Registration newRegistration) {
        registration = newRegistration;
        registeredAtMicros = nowMicros;
        connectionState = ConnectionState.CONNECTED;
        connection = newConnection;
    }

    /** The connection is closed, or replaced by another. */
    void disconnect(long nowMicros) {
        connectionState = ConnectionState.DISCONNECTED;
        connection = Membership.NO_CONNECTION;
        disconnectedAtMicros = nowMicros;
        quarantine.connectionLost(nowMicros);
    }

    /** The incarnation is declared ended for lack of a connection. */
    void markLost() {
        connectionState = ConnectionState.LOST;
    }

    /** Leaves a pause of the placer itself out of the time without a connection. */
    void excludePause(long pauseMicros) {
        if (!isConnected()) {
            disconnectedAtMicros += pauseMicros;
        }
    }

    void setDraining(boolean enabled) {
        draining = enabled;
    }

    boolean isDraining() {
        return draining;
    }

    boolean isConnected() {
        return connectionState == ConnectionState.CONNECTED;
    }

    boolean isLost() {
        return connectionState == ConnectionState.LOST;
    }

    /** Whether the machine has just been without a connection for longer than allowed. */
    boolean isDueToBeLost(long nowMicros, long goneAfterMicros) {
        return connectionState == ConnectionState.DISCONNECTED
                && nowMicros - disconnectedAtMicros > goneAfterMicros;
    }

    /** Whether the registration is of a later incarnation. */
    boolean isSupersededBy(Registration other) {
        return other.incarnation() > registration.incarnation();
    }

    /** Connection of the machine, or {@link Membership#NO_CONNECTION}. */
    long connection() {
        return connection;
    }

    String name() {
        return registration.machine();
    }

    long incarnation() {
        return registration.incarnation();
    }

    /** The state that the placement policy should see now. */
    MachineState currentState(long nowMicros) {
        if (!isConnected() || quarantine.isActive(nowMicros)) {
            return MachineState.GONE;
        }
        return draining ? MachineState.DRAINING : MachineState.READY;
    }

    /** The state that the placement policy was given last. */
    MachineState publishedState() {
        return publishedState;
    }

    /** Marks the state as published and returns the list entry that shows it. */
    MachineEntry publish(long nowMicros, MachineState state) {
        publishedState = state;
        // The policy takes free capacity in an entry for a current load report. The registered
        // figures are current only at the moment of registration, not when a drain ends later.
        boolean loadIsCurrent = nowMicros == registeredAtMicros;
        return new MachineEntry(
                registration.machine(),
                registration.zone(),
                registration.kind(),
                registration.cell(),
                state,
                loadIsCurrent ? registration.freeCores() : Double.NaN,
                loadIsCurrent ? registration.freeMemory() : Double.NaN,
                DEFAULT_WEIGHT,
                startedAtMicros);
    }

    /** The machine as operators see it. */
    MachineView view(long nowMicros) {
        return new MachineView(
                registration.machine(),
                registration.incarnation(),
                registration.kind(),
                registration.zone(),
                viewState(nowMicros),
                registration.cores(),
                registration.memory(),
                viewNote(nowMicros));
    }

    private String viewState(long nowMicros) {
        if (!isConnected()) {
            return "gone";
        }
        if (draining) {
            return "draining";
        }
        return quarantine.isActive(nowMicros) ? "held-out" : "ready";
    }

    private String viewNote(long nowMicros) {
        if (!isConnected()) {
            return "no connection for "
                    + (nowMicros - disconnectedAtMicros) / MICROS_PER_SECOND
                    + " s"
                    + (draining ? ", drains" : "");
        }
        if (quarantine.isActive(nowMicros)) {
            return "its connection came and went too often; held out for "
                    + quarantine.remainingMicros(nowMicros) / MICROS_PER_SECOND
                    + " s more";
        }
        return "";
    }
}
