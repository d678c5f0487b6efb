package thornferry.testbed.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import thornferry.state.Durability;

class ChildArgumentsTest {
    private static final Path SCRIPT = Path.of("scenario.toml");
    private static final Optional<ScenarioKeys> KEYS =
            Optional.of(new ScenarioKeys(Path.of("keys")));

    @Test
    void parsesArgumentsOfPlacer() {
        ChildArguments.Placer arguments =
                new ChildArguments.Placer(SCRIPT, 7, 2, KEYS, Path.of("state2"), Durability.DISK);
        assertThat(arguments.toCommandLine())
                .containsExactly("placer", "scenario.toml", "7", "2", "keys", "state2", "DISK");
        assertThat(ChildArguments.parse(arguments.toCommandLine())).isEqualTo(arguments);
    }

    @Test
    void parsesArgumentsOfNodesWithoutKeys() {
        ChildArguments.Nodes arguments =
                new ChildArguments.Nodes(SCRIPT, 7, 1, Optional.empty(), true, List.of(4001, 4002));
        assertThat(arguments.toCommandLine())
                .containsExactly("nodes", "scenario.toml", "7", "1", "-", "true", "4001", "4002");
        assertThat(ChildArguments.parse(arguments.toCommandLine())).isEqualTo(arguments);
    }

    @Test
    void rejectsUnknownRole() {
        assertThatThrownBy(() -> ChildArguments.parse(List.of("balancer")))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("balancer");
    }
}
