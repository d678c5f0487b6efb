package thornferry.app;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SimHostCommandTest {
    @Test
    void servesProtocolOfSimulator() {
        assertThat(CommandRunner.runWithInput("[\"mark\",1,1]\n[\"eob\"]\n", "simhost"))
                .isEqualTo(new CommandResult(0, "[\"done\",1]\n", ""));
    }
}
