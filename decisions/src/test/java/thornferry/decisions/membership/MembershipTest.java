package thornferry.decisions.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import thornferry.decisions.membership.Membership.Action;
import thornferry.decisions.membership.Membership.CloseConnection;
import thornferry.decisions.membership.Membership.IncarnationEnded;
import thornferry.decisions.membership.Membership.MachineRegistered;
import thornferry.decisions.membership.Membership.MachinesChanged;
import thornferry.decisions.membership.Membership.NotifyDrain;
import thornferry.decisions.membership.Membership.Registration;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.placement.Placement.MachineState;

class MembershipTest {
    private static final long MILLISECOND = 1_000;
    private static final long SECOND = 1_000_000;

    private final Membership membership =
            new Membership(
                    new Membership.Limits(10 * SECOND, 2, 30 * SECOND, 5 * SECOND, 3),
                    List.of(new Placement.MachineKind("std", 20, 40)));
    private final List<Action> actions = new ArrayList<>();
    private long nowMicros = 1_000 * SECOND;

    private static Registration registration(String machine, long incarnation, long uptimeMicros) {
        return new Registration(machine, incarnation, "std", "a", 1, 20, 40, uptimeMicros, 20, 40);
    }

    private List<Action> register(long connection, String machine, long incarnation) {
        return register(connection, registration(machine, incarnation, 3_600 * SECOND));
    }

    private List<Action> register(long connection, Registration registration) {
        return actionsOf(
                () -> membership.register(nowMicros, connection, registration, actions::add));
    }

    private List<Action> disconnect(long connection) {
        return actionsOf(() -> membership.connectionClosed(nowMicros, connection, actions::add));
    }

    /** Advances the clock and ticks every 100 ms, as the placer does. */
    private List<Action> advance(long durationMicros) {
        return actionsOf(
                () -> {
                    for (long endMicros = nowMicros + durationMicros; nowMicros < endMicros; ) {
                        nowMicros = Math.min(endMicros, nowMicros + 100 * MILLISECOND);
                        membership.tick(nowMicros, actions::add);
                    }
                });
    }

    private List<Action> actionsOf(Runnable step) {
        actions.clear();
        step.run();
        return List.copyOf(actions);
    }

    private static MachineState lastPublishedState(List<Action> actions) {
        return actions.stream()
                .filter(MachinesChanged.class::isInstance)
                .map(action -> ((MachinesChanged) action).entries().get(0).state())
                .reduce((earlier, later) -> later)
                .orElse(null);
    }

    private String viewedState(String machine) {
        return membership.machineViews(nowMicros).stream()
                .filter(view -> view.machine().equals(machine))
                .findFirst()
                .orElseThrow()
                .state();
    }

    @Test
    void admitsRegisteredMachineAndPublishesItAsReady() {
        List<Action> result = register(1, "n", 5);
        assertThat(result.get(0)).isEqualTo(new MachineRegistered("n", 5, 1));
        assertThat(lastPublishedState(result)).isEqualTo(MachineState.READY);
        assertThat(membership.connectionOf("n")).isEqualTo(1);
    }

    @Test
    void publishesDisconnectedMachineAsGoneWithoutEndingIncarnation() {
        register(1, "n", 5);
        assertThat(lastPublishedState(disconnect(1))).isEqualTo(MachineState.GONE);
        assertThat(advance(9 * SECOND)).noneMatch(IncarnationEnded.class::isInstance);
        List<Action> reconnected = register(2, "n", 5);
        assertThat(lastPublishedState(reconnected)).isEqualTo(MachineState.READY);
        assertThat(reconnected).noneMatch(IncarnationEnded.class::isInstance);
    }

    @Test
    void keepsStartTimeWithinIncarnation() {
        MachinesChanged first = (MachinesChanged) register(1, "n", 5).get(1);
        disconnect(1);
        nowMicros += SECOND;
        // The reported uptime has not grown meanwhile. The policy would take a changed start time
        // for a restart.
        MachinesChanged again = (MachinesChanged) register(2, "n", 5).get(1);
        assertThat(again.entries().get(0).startedAtMicros())
                .isEqualTo(first.entries().get(0).startedAtMicros());
    }

    @Test
    void endsIncarnationExactlyOnceAfterTimeWithoutConnection() {
        register(1, "n", 5);
        disconnect(1);
        assertThat(advance(30 * SECOND)).filteredOn(IncarnationEnded.class::isInstance).hasSize(1);
    }

    @Test
    void excludesPauseOfPlacerFromTimeWithoutConnection() {
        register(1, "n", 5);
        advance(SECOND);
        disconnect(1);
        advance(9 * SECOND);
        // The placer pauses for 2 s without a tick. Of the 11 s since the disconnect only 9 s
        // count.
        nowMicros += 2 * SECOND;
        assertThat(actionsOf(() -> membership.tick(nowMicros, actions::add)))
                .noneMatch(IncarnationEnded.class::isInstance);
        assertThat(advance(2 * SECOND)).anyMatch(IncarnationEnded.class::isInstance);
    }

    @Test
    void endsEarlierIncarnationWhenLaterOneRegisters() {
        register(1, "n", 5);
        List<Action> result = register(2, "n", 6);
        assertThat(result)
                .containsSubsequence(
                        new CloseConnection(1, "registered again on another connection"),
                        new IncarnationEnded("n", 5, "it has started anew"),
                        new MachineRegistered("n", 6, 2));
        // Closing the old connection does not affect the new incarnation.
        assertThat(disconnect(1)).isEmpty();
        assertThat(membership.connectionOf("n")).isEqualTo(2);
    }

    @Test
    void rejectsOlderIncarnation() {
        register(1, "n", 6);
        List<Action> result = register(2, "n", 5);
        assertThat(result).singleElement().isInstanceOf(CloseConnection.class);
        assertThat(membership.incarnationOf("n")).isEqualTo(6);
        assertThat(membership.connectionOf("n")).isEqualTo(1);
    }

    @Test
    void closesOlderConnectionOfSameIncarnation() {
        register(1, "n", 5);
        List<Action> result = register(2, "n", 5);
        assertThat(result)
                .contains(new CloseConnection(1, "registered again on another connection"));
        assertThat(result).noneMatch(IncarnationEnded.class::isInstance);
        assertThat(viewedState("n")).isEqualTo("ready");
    }

    @Test
    void rejectsSecondMachineOnSameConnection() {
        register(1, "n", 5);
        assertThat(register(1, "m", 5)).singleElement().isInstanceOf(CloseConnection.class);
    }

    @Test
    void doublesQuarantineOfFlappingMachine() {
        long connection = 1;
        long[] quarantineMicros = new long[2];
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < 3; i++) {
                register(connection, "n", 5);
                disconnect(connection++);
            }
            register(connection, "n", 5);
            assertThat(viewedState("n")).isEqualTo("held-out");
            long startMicros = nowMicros;
            while (viewedState("n").equals("held-out")) {
                advance(100 * MILLISECOND);
            }
            quarantineMicros[round] = nowMicros - startMicros;
            disconnect(connection++);
        }
        assertThat(quarantineMicros[0]).isBetween(4 * SECOND, 6 * SECOND);
        assertThat(quarantineMicros[1]).isBetween(9 * SECOND, 11 * SECOND);
    }

    @Test
    void keepsDrainAcrossIncarnationsAndInformsPolicyFirst() {
        register(1, "n", 5);
        List<Action> result =
                actionsOf(() -> membership.setDraining(nowMicros, "n", true, actions::add));
        assertThat(lastPublishedState(result)).isEqualTo(MachineState.DRAINING);
        assertThat(result.get(result.size() - 1)).isEqualTo(new NotifyDrain("n", 1, true));
        disconnect(1);
        List<Action> reconnected = register(2, "n", 6);
        assertThat(lastPublishedState(reconnected)).isEqualTo(MachineState.DRAINING);
        assertThat(reconnected).contains(new NotifyDrain("n", 2, true));
        assertThat(
                        lastPublishedState(
                                actionsOf(
                                        () ->
                                                membership.setDraining(
                                                        nowMicros, "n", false, actions::add))))
                .isEqualTo(MachineState.READY);
        assertThat(membership.setDraining(nowMicros, "unknown", true, actions::add)).isFalse();
    }

    @Test
    void rejectsInvalidRegistrationsWithReason() {
        assertThat(register(1, new Registration("n", 1, "odd", "a", 1, 20, 40, 0, 1, 1)))
                .singleElement()
                .extracting(action -> ((CloseConnection) action).reason())
                .asString()
                .contains("kind odd");
        assertThat(register(1, new Registration("n", 1, "std", "a", 1, 10, 40, 0, 1, 1)))
                .singleElement()
                .extracting(action -> ((CloseConnection) action).reason())
                .asString()
                .contains("20.0 cores");
        assertThat(register(1, new Registration("n", 1, "std", "", 1, 20, 40, 0, 1, 1)))
                .singleElement()
                .isInstanceOf(CloseConnection.class);
        assertThat(membership.machineViews(nowMicros)).isEmpty();
    }

    @Test
    void boundsNumberOfMachinesAndReplacesLostOnes() {
        register(1, "a", 1);
        register(2, "b", 1);
        register(3, "c", 1);
        assertThat(register(4, "d", 1)).singleElement().isInstanceOf(CloseConnection.class);
        disconnect(1);
        advance(11 * SECOND);
        assertThat(register(5, "d", 1)).contains(new MachineRegistered("d", 1, 5));
    }
}
