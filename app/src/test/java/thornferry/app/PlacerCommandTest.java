package thornferry.app;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class PlacerCommandTest {
    @RegisterExtension static final DemoClusterExtension CLUSTER = new DemoClusterExtension();

    @Test
    void failsIfPortIsInUse() {
        CommandResult result =
                CommandRunner.run("placer", "../examples/site.toml", "--port", CLUSTER.port());
        assertThat(result.code()).isEqualTo(1);
        assertThat(result.err()).contains("cannot listen on 127.0.0.1:" + CLUSTER.port());
    }
}
