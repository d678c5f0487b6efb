package thornferry.decisions.membership;

import thornferry.decisions.membership.Membership.MachineView;
import thornferry.decisions.membership.Membership.Registration;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineState;

/**
 * The membership state of one machine: its current incarnation, its connection, its drain and its
 * flap quarantine. The package description lists the transitions.
 */
final class MemberMachine {
    /** State of the machine's connection. */
    private enum ConnectionState {
        /** The machine is registered on an open connection. */
        CONNECTED,
        /**
         * The machine has had no connection for at most {@link Membership.Limits#goneAfterMicros}.
         */
        DISCONNECTED,
        /** The incarnation was declared ended for lack of a connection. */
        LOST
    }

    /** Weight of every machine in the machine list. */
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

    /** Creates the state of a machine that registers for the first time. */
    MemberMachine(
            long nowMicros, long connection, Registration registration, Membership.Limits limits) {
        this.quarantine = new FlapQuarantine(limits);
        startIncarnation(nowMicros, registration);
        connect(nowMicros, connection, registration);
    }

    private void startIncarnation(long nowMicros, Registration firstRegistration) {
        startedAtMicros = Math.max(1, nowMicros - firstRegistration.uptimeMicros());
    }

    /**
     * Registers the machine again on a connection, in the same incarnation or a later one.
     *
     * <p>The start time is computed only once for each incarnation. Reported uptimes are rounded
     * and arrive with a delay, and the placement policy would take a changed start time for a
     * restart.
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

    /** Records that the connection was closed or replaced by another. */
    void disconnect(long nowMicros) {
        connectionState = ConnectionState.DISCONNECTED;
        connection = Membership.NO_CONNECTION;
        disconnectedAtMicros = nowMicros;
        quarantine.connectionLost(nowMicros);
    }

    /** Declares the incarnation ended for lack of a connection. */
    void markLost() {
        connectionState = ConnectionState.LOST;
    }

    /** Excludes a pause of the placer itself from the machine's time without a connection. */
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

    /**
     * Returns whether the machine has had no connection for longer than allowed and has not been
     * marked as lost.
     */
    boolean isConnectionTimedOut(long nowMicros, long goneAfterMicros) {
        return connectionState == ConnectionState.DISCONNECTED
                && nowMicros - disconnectedAtMicros > goneAfterMicros;
    }

    /** Returns whether the registration is of a later incarnation than the current one. */
    boolean isSupersededBy(Registration newRegistration) {
        return newRegistration.incarnation() > registration.incarnation();
    }

    /**
     * Returns the connection of the machine, or {@link Membership#NO_CONNECTION} if it has none.
     */
    long connection() {
        return connection;
    }

    String name() {
        return registration.machine();
    }

    long incarnation() {
        return registration.incarnation();
    }

    /** Returns the state that the machine list should contain now. */
    MachineState currentState(long nowMicros) {
        if (!isConnected() || quarantine.isActive(nowMicros)) {
            return MachineState.GONE;
        }
        return draining ? MachineState.DRAINING : MachineState.READY;
    }

    /**
     * Returns the state in the entry that was published last; {@link MachineState#GONE} before the
     * first.
     */
    MachineState publishedState() {
        return publishedState;
    }

    /** Marks the state as published and returns the list entry that contains it. */
    MachineEntry publish(long nowMicros, MachineState state) {
        publishedState = state;
        // The policy treats the free capacity in an entry as a current load report. The registered
        // amounts are current only at the time of registration, not when a drain ends later.
        boolean isLoadCurrent = nowMicros == registeredAtMicros;
        return new MachineEntry(
                registration.machine(),
                registration.zone(),
                registration.kind(),
                registration.cell(),
                state,
                isLoadCurrent ? registration.freeCores() : Double.NaN,
                isLoadCurrent ? registration.freeMemory() : Double.NaN,
                DEFAULT_WEIGHT,
                startedAtMicros);
    }

    /** Returns the view of the machine for operators. */
    MachineView toView(long nowMicros) {
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
