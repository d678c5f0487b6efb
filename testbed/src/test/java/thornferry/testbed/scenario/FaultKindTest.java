package thornferry.testbed.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FaultKindTest {
    @Test
    void keepsWordsOfScenarioFilesInOrder() {
        assertThat(FaultKind.byWord().keySet())
                .containsExactly(
                        "crash",
                        "pause",
                        "placer-pause",
                        "mute",
                        "answers-lost",
                        "preempt",
                        "surge",
                        "restart-services",
                        "vanish",
                        "placer-kill",
                        "node-kill",
                        "both-kill",
                        "cut",
                        "half-open",
                        "slow-reader",
                        "drain");
    }
}
