package thornferry.app;

import static org.assertj.core.api.Assertions.assertThat;
import static thornferry.app.CommandRunner.runWith;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeBehavior;
import thornferry.agent.NodeShape;
import thornferry.agent.PlacerLogin;
import thornferry.config.SiteFile;
import thornferry.placer.Placer;
import thornferry.protocol.Heartbeat;
import thornferry.security.Tls;

/**
 * Performs the steps of the README for logins by certificate, from {@code keys init} to the first
 * {@code submit}.
 */
class CertificateLoginTest {
    private static final int MAX_POLLS = 100;
    private static final long POLL_INTERVAL_MILLIS = 100;

    @TempDir Path folder;

    @Test
    void commandsNeedNoLoginWithCertificate() throws Exception {
        issueCertificates();
        SiteFile site = SiteFile.read(writeSiteFile());
        try (Placer placer = Placer.start(site.site(), "127.0.0.1", 0, 1);
                AgentPool nodes = new AgentPool(1, nodeContext())) {
            InetSocketAddress address = placer.addresses().get(0);
            startNode(nodes, address);
            List<String> operator = clientOptions(address, "ops");
            List<String> owner = clientOptions(address, "depot1");
            awaitNode(operator);
            assertThat(runWith(operator, "nodes").out()).containsPattern("n1 +ready");
            assertThat(runWith(owner, "submit", "--class", "gauge-relay", "--id", "c1").out())
                    .contains("task c1 placed on n1");
            assertThat(runWith(owner, "why", "c1").out()).contains("c1");
            assertThat(runWith(owner, "waiting").code()).isZero();
            assertThat(runWith(owner, "limits").out()).contains("depot1");
            assertThat(runWith(operator, "limits").out()).contains("site");
            assertThat(runWith(operator, "drain", "n1").code()).isZero();
            assertThat(runWith(operator, "drain", "n1", "--off").code()).isZero();
            assertThat(runWith(owner, "stop", "c9").err()).contains("no task c9 of yours");
            assertThat(runWith(owner, "drain", "n1").err()).contains("login depot1 may not use");
        }
    }

    private void issueCertificates() {
        List<String> directory = List.of("--dir", keyPath("").toString());
        assertThat(runWith(directory, "keys", "init").code()).isZero();
        assertThat(runWith(directory, "keys", "server", "placer-0").code()).isZero();
        assertThat(runWith(directory, "keys", "owner", "depot1").code()).isZero();
        assertThat(runWith(directory, "keys", "operator", "ops").code()).isZero();
        assertThat(runWith(directory, "keys", "agent", "node").code()).isZero();
    }

    private Path keyPath(String name) {
        return folder.resolve("keys").resolve(name);
    }

    private Path writeSiteFile() throws IOException {
        String example = Files.readString(Path.of("../examples/site.toml"));
        Path file = folder.resolve("site.toml");
        Files.writeString(
                file,
                example.replace("settle-ms = 3000", "settle-ms = 0")
                        + "[tls]\n"
                        + "certificate = \"keys/placer-0.pem\"\n"
                        + "key = \"keys/placer-0.key\"\n"
                        + "authorities = \"keys/ca.pem\"\n"
                        + "client-certificates = \"wanted\"\n");
        return file;
    }

    private SslContext nodeContext() throws IOException {
        return Tls.clientContext(
                new Tls.Pem(keyPath("node.pem"), keyPath("node.key"), keyPath("ca.pem")));
    }

    private static void startNode(AgentPool nodes, InetSocketAddress placer) {
        nodes.add(
                new NodeShape("n1", "std-node", "hall-a", 0, 24, 48),
                NodeBehavior.usual(Map.of()),
                new PlacerLogin(List.of(placer), null, null, new Heartbeat(500, 500)),
                1,
                NodeAgent.Watcher.NONE);
    }

    private List<String> clientOptions(InetSocketAddress placer, String certificate) {
        return List.of(
                "--port",
                Integer.toString(placer.getPort()),
                "--ca",
                keyPath("ca.pem").toString(),
                "--cert",
                keyPath(certificate + ".pem").toString());
    }

    private static void awaitNode(List<String> operator) throws InterruptedException {
        for (int i = 0; i < MAX_POLLS && !runWith(operator, "nodes").out().contains("n1"); i++) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
