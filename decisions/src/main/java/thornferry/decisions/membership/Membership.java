package thornferry.decisions.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineState;

/**
 * Tracks which machines are registered, in which incarnation, and whether they may receive offers.
 * Membership derives the machine list of {@link Placement} from registrations, closed connections
 * and drains.
 *
 * <p>A closed connection does not prove that the machine's tasks have ended. The machine is
 * published as {@link MachineState#GONE} at once, since nothing can be sent to it, but its
 * incarnation ends only after {@link Limits#goneAfterMicros} or when a later incarnation registers.
 * The package description lists the states and transitions of a machine.
 *
 * <p>Each method that changes state passes the resulting {@link Action}s, in order, to its {@code
 * actions} parameter. All times are microseconds; {@code nowMicros} never decreases.
 */
public final class Membership {
    /** The connection id of a machine without a connection. */
    public static final long NO_CONNECTION = -1;

    /** The incarnation of a machine that is not known. */
    public static final long NO_INCARNATION = -1;

    /**
     * The longest time between two ticks that does not count as a pause of the placer itself. A
     * pause is not counted as time without a connection for any machine.
     */
    private static final long MAX_TICK_INTERVAL_MICROS = 250_000;

    /** Value of {@link #lastTickMicros} before the first tick. */
    private static final long NO_TICK_YET = Long.MIN_VALUE;

    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * The limits of the membership; each must be above 0.
     *
     * @param goneAfterMicros time without a connection after which a machine's incarnation ends and
     *     its tasks are lost
     * @param maxFlaps maximum number of connections that a machine may lose within {@code
     *     flapWindowMicros} without being quarantined
     * @param flapWindowMicros window in which lost connections are counted
     * @param quarantineMicros length of a flapping machine's first quarantine; each further one
     *     lasts twice as long, up to 16 times the first
     * @param maxMachines maximum number of machines known at a time, including lost ones
     */
    public record Limits(
            long goneAfterMicros,
            int maxFlaps,
            long flapWindowMicros,
            long quarantineMicros,
            int maxMachines) {
        /**
         * Checks that each limit is above 0.
         *
         * @throws IllegalArgumentException if a limit is 0 or negative
         */
        public Limits {
            requirePositive("goneAfterMicros", goneAfterMicros);
            requirePositive("maxFlaps", maxFlaps);
            requirePositive("flapWindowMicros", flapWindowMicros);
            requirePositive("quarantineMicros", quarantineMicros);
            requirePositive("maxMachines", maxMachines);
        }

        private static void requirePositive(String field, long value) {
            if (value <= 0) {
                throw new IllegalArgumentException(
                        "membership limit " + field + " is " + value + " but must be above 0");
            }
        }
    }

    /**
     * The report of a machine that registers.
     *
     * @param machine name of the machine
     * @param incarnation number of this start of the machine's agent; increases with each start
     * @param kind name of the machine kind
     * @param zone zone of the machine
     * @param cell cell of the machine
     * @param cores total cores; must match those of the configured kind
     * @param memory total memory; must match that of the configured kind
     * @param uptimeMicros time since this incarnation started
     * @param freeCores free cores, in the unit of the task specifications
     * @param freeMemory free memory, in the unit of the task specifications
     */
    public record Registration(
            String machine,
            long incarnation,
            String kind,
            String zone,
            int cell,
            double cores,
            double memory,
            long uptimeMicros,
            double freeCores,
            double freeMemory) {}

    /**
     * An action for the caller to carry out. The caller carries out actions in the order in which
     * it receives them.
     */
    public sealed interface Action {}

    /** Pass these changed entries of the machine list to the placement policy. */
    public record MachinesChanged(List<MachineEntry> entries) implements Action {}

    /** Close the connection and send its peer the reason. */
    public record CloseConnection(long connection, String reason) implements Action {}

    /** This incarnation of the machine has ended, and all its tasks and offers are lost. */
    public record IncarnationEnded(String machine, long incarnation, String reason)
            implements Action {}

    /** A lost machine was removed to make room for another one. */
    public record MachineRemoved(String machine) implements Action {}

    /** The machine is registered on this connection in this incarnation; its inventory is valid. */
    public record MachineRegistered(String machine, long incarnation, long connection)
            implements Action {}

    /** Notify the machine that its drain began or ended. */
    public record NotifyDrain(String machine, long connection, boolean draining)
            implements Action {}

    /**
     * The view of a machine for operators.
     *
     * @param state one of "gone", "draining", "held-out" (quarantined) and "ready"
     * @param note the reason why the machine receives no offers, if it is not connected or is
     *     quarantined; otherwise empty
     */
    public record MachineView(
            String machine,
            long incarnation,
            String kind,
            String zone,
            String state,
            double cores,
            double memory,
            String note) {}

    private final Limits limits;
    private final RegistrationValidator validator;
    private final Map<String, MemberMachine> machines = new LinkedHashMap<>();
    private final Map<Long, String> machineByConnection = new HashMap<>();
    private long lastTickMicros = NO_TICK_YET;

    /** Creates a membership without machines; {@code kinds} are the configured machine kinds. */
    public Membership(Limits limits, List<Placement.MachineKind> kinds) {
        this.limits = limits;
        this.validator = new RegistrationValidator(kinds);
    }

    /**
     * Handles a machine's first or repeated registration on a connection. An invalid registration
     * closes the connection and changes nothing else.
     */
    public void register(
            long nowMicros, long connection, Registration registration, Consumer<Action> actions) {
        MemberMachine machine = machines.get(registration.machine());
        Optional<String> error =
                validator
                        .findError(registration)
                        .or(() -> findConflict(connection, registration, machine, actions));
        if (error.isPresent()) {
            actions.accept(new CloseConnection(connection, error.get()));
            return;
        }
        if (machine == null) {
            MemberMachine newMachine =
                    new MemberMachine(nowMicros, connection, registration, limits);
            machines.put(registration.machine(), newMachine);
            completeRegistration(nowMicros, newMachine, actions);
            return;
        }
        closePreviousConnection(nowMicros, connection, machine, actions);
        if (machine.isSupersededBy(registration) && !machine.isLost()) {
            actions.accept(
                    new IncarnationEnded(
                            machine.name(), machine.incarnation(), "it has started anew"));
        }
        machine.registerAgain(nowMicros, connection, registration);
        completeRegistration(nowMicros, machine, actions);
    }

    /**
     * Returns how a valid registration conflicts with the known machines, or empty if it does not.
     * Removes a lost machine if a machine that is not known yet needs its entry.
     */
    private Optional<String> findConflict(
            long connection,
            Registration registration,
            MemberMachine machine,
            Consumer<Action> actions) {
        String registeredMachine = machineByConnection.get(connection);
        if (registeredMachine != null && !registeredMachine.equals(registration.machine())) {
            return Optional.of("this connection is registered as another node");
        }
        if (machine == null) {
            return machines.size() < limits.maxMachines() || removeLostMachine(actions)
                    ? Optional.empty()
                    : Optional.of(
                            "the placer knows as many nodes as it may: " + limits.maxMachines());
        }
        // Prevents an agent process that was considered ended from replacing its successor when it
        // resumes.
        return registration.incarnation() < machine.incarnation()
                ? Optional.of(
                        "incarnation "
                                + registration.incarnation()
                                + " is older than "
                                + machine.incarnation())
                : Optional.empty();
    }

    /** Removes a lost machine that is not draining; returns false if there is none. */
    private boolean removeLostMachine(Consumer<Action> actions) {
        Optional<String> lostMachine =
                machines.values().stream()
                        .filter(machine -> machine.isLost() && !machine.isDraining())
                        .map(MemberMachine::name)
                        .findFirst();
        lostMachine.ifPresent(
                name -> {
                    machines.remove(name);
                    actions.accept(new MachineRemoved(name));
                });
        return lostMachine.isPresent();
    }

    /**
     * Closes the machine's previous connection, if any, since that may be half-open without either
     * side having noticed.
     */
    private void closePreviousConnection(
            long nowMicros, long connection, MemberMachine machine, Consumer<Action> actions) {
        if (machine.isConnected() && machine.connection() != connection) {
            long previousConnection = machine.connection();
            disconnect(nowMicros, machine);
            actions.accept(
                    new CloseConnection(
                            previousConnection, "registered again on another connection"));
        }
    }

    private void completeRegistration(
            long nowMicros, MemberMachine machine, Consumer<Action> actions) {
        machineByConnection.put(machine.connection(), machine.name());
        actions.accept(
                new MachineRegistered(machine.name(), machine.incarnation(), machine.connection()));
        if (machine.isDraining()) {
            actions.accept(new NotifyDrain(machine.name(), machine.connection(), true));
        }
        publishState(nowMicros, machine, actions);
    }

    /**
     * Handles the close of a connection by either side. A close is ignored if no machine is
     * registered on the connection, because none ever registered or the connection was replaced.
     */
    public void connectionClosed(long nowMicros, long connection, Consumer<Action> actions) {
        String name = machineByConnection.get(connection);
        if (name != null) {
            MemberMachine machine = machines.get(name);
            disconnect(nowMicros, machine);
            publishState(nowMicros, machine, actions);
        }
    }

    private void disconnect(long nowMicros, MemberMachine machine) {
        machineByConnection.remove(machine.connection());
        machine.disconnect(nowMicros);
    }

    /**
     * Begins or ends a drain. A drain persists across connections and incarnations.
     *
     * @return false if the machine is not known
     */
    public boolean setDraining(
            long nowMicros, String machine, boolean enabled, Consumer<Action> actions) {
        MemberMachine member = machines.get(machine);
        if (member == null) {
            return false;
        }
        member.setDraining(enabled);
        // The policy is informed first, so that no offer is made once the machine has been
        // notified.
        publishState(nowMicros, member, actions);
        if (member.isConnected()) {
            actions.accept(new NotifyDrain(machine, member.connection(), enabled));
        }
        return true;
    }

    /** Advances time: ends incarnations and quarantines. To be called several times per second. */
    public void tick(long nowMicros, Consumer<Action> actions) {
        long sinceLastTickMicros = lastTickMicros == NO_TICK_YET ? 0 : nowMicros - lastTickMicros;
        lastTickMicros = nowMicros;
        for (MemberMachine machine : machines.values()) {
            if (sinceLastTickMicros > MAX_TICK_INTERVAL_MICROS) {
                // Without this, a pause of the placer would end all incarnations at once.
                machine.excludePause(sinceLastTickMicros);
            }
            if (machine.isConnectionTimedOut(nowMicros, limits.goneAfterMicros())) {
                machine.markLost();
                actions.accept(
                        new IncarnationEnded(
                                machine.name(),
                                machine.incarnation(),
                                "not heard of for "
                                        + limits.goneAfterMicros() / MICROS_PER_MILLI
                                        + " ms"));
            }
            publishState(nowMicros, machine, actions);
        }
    }

    private static void publishState(
            long nowMicros, MemberMachine machine, Consumer<Action> actions) {
        MachineState state = machine.currentState(nowMicros);
        if (state != machine.publishedState()) {
            actions.accept(new MachinesChanged(List.of(machine.publish(nowMicros, state))));
        }
    }

    /**
     * Returns the connection of a machine, or {@link #NO_CONNECTION} if the machine has none or is
     * not known.
     */
    public long connectionOf(String machine) {
        MemberMachine member = machines.get(machine);
        return member == null ? NO_CONNECTION : member.connection();
    }

    /** Returns whether the last published entry of the machine listed it as ready. */
    public boolean isReady(String machine) {
        MemberMachine member = machines.get(machine);
        return member != null && member.publishedState() == MachineState.READY;
    }

    /**
     * Returns the current incarnation of a machine, or {@link #NO_INCARNATION} if the machine is
     * not known.
     */
    public long incarnationOf(String machine) {
        MemberMachine member = machines.get(machine);
        return member == null ? NO_INCARNATION : member.incarnation();
    }

    /** Returns the machine registered on this connection, or null if there is none. */
    public String machineOf(long connection) {
        return machineByConnection.get(connection);
    }

    /** Returns the views of all known machines in the order of their first registration. */
    public List<MachineView> machineViews(long nowMicros) {
        List<MachineView> views = new ArrayList<>();
        machines.values().forEach(machine -> views.add(machine.toView(nowMicros)));
        return views;
    }
}
