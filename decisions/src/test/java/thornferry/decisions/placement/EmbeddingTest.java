package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compiles and runs the example of the README as a user of the package would write it. */
class EmbeddingTest {
    private final List<Placement.Action> actions = new ArrayList<>();

    private void record(Placement.Action action) {
        actions.add(action);
    }

    @Test
    void offersTaskInReadmeExample() {
        Placement.Settings settings = new PolicyFixtures().settings();
        List<Placement.MachineEntry> machines = List.of(PolicyFixtures.readyMachine("m1", "a", 10));
        Placement.PlacementRequest request =
                new Placement.PlacementRequest(
                        "r1", "safe", null, "t1", 5_000_000, 0, "service", 1, 1, false);
        long nowMicros = 0;

        Placement policy = new Policy(settings);
        policy.handle(
                nowMicros,
                new Placement.MachineListUpdated(1, Placement.ListUpdateKind.FULL, machines),
                this::record);
        policy.handle(nowMicros, new Placement.PlacementRequested(request), this::record);

        assertTrue(
                actions.stream()
                        .anyMatch(
                                recorded ->
                                        recorded instanceof Placement.Offer offer
                                                && offer.machine().equals("m1")));
    }
}
