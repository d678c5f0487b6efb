package thornferry.app;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests the commands on nodes: {@code nodes} and {@code drain}. */
class NodeCommandsTest {
    @RegisterExtension static final DemoClusterExtension CLUSTER = new DemoClusterExtension();

    @Test
    void nodesShowsWhetherNodeIsDraining() {
        assertThat(CLUSTER.run("drain", "node-2").code()).isZero();
        assertThat(CLUSTER.run("nodes").out()).containsPattern("node-2 +draining");
        assertThat(CLUSTER.run("drain", "--off", "node-2").code()).isZero();
        assertThat(CLUSTER.run("nodes", "--json").out())
                .contains("\"node\":\"node-2\"")
                .doesNotContain("draining");
        assertThat(CLUSTER.run("drain", "node-9").err()).contains("no node node-9");
    }
}
