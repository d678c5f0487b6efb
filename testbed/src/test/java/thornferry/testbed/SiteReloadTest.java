package thornferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.client.TaskClient;
import thornferry.protocol.Destinations;
import thornferry.protocol.v1.LimitsQuery;
import thornferry.protocol.v1.Reason;
import thornferry.protocol.v1.Reload;
import thornferry.protocol.v1.TaskNews;
import thornferry.protocol.v1.Why;
import thornferry.protocol.v1.WhyQuery;
import thornferry.security.Keys;

/** Reloads of the site file while clients are connected and tasks are pending. */
class SiteReloadTest {
    private static final String NEW_PASSCODE = "new";
    private static final Duration REASON_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration REASON_POLL_INTERVAL = Duration.ofMillis(20);

    @TempDir Path directory;

    private TlsSite site;

    @BeforeEach
    void startSite() throws Exception {
        site = TlsSite.start(directory);
    }

    @AfterEach
    void closeSite() {
        site.close();
    }

    @Test
    void reloadsCertificatesAndAccountsWithoutClosingConnections() throws Exception {
        RecordingConnection openBefore =
                site.openWithReplies(site.byPasscode("depot1", TlsSite.DEPOT1_PASSCODE));
        site.keys()
                .issue(
                        "placer",
                        Keys.Use.SERVER,
                        List.of("127.0.0.1"),
                        TlsSite.CERTIFICATE_VALIDITY);
        site.writeFile(NEW_PASSCODE, "");
        assertThat(site.placer().reload()).isNull();
        WhyQuery query = WhyQuery.newBuilder().setTask("t").build();
        assertThat(openBefore.query(Destinations.WHY, query).text()).contains("unknown");
        assertThat(site.open(site.byPasscode("depot1", NEW_PASSCODE)).outcome())
                .isEqualTo(RecordingConnection.CONNECTED);
        assertThat(site.open(site.byPasscode("depot1", TlsSite.DEPOT1_PASSCODE)).outcome())
                .contains("not accepted");
    }

    @Test
    void keepsSettingsAndNamesErrorIfFileIsInvalid() throws Exception {
        for (String invalidSettings :
                List.of(
                        "[[limit]]\nowner = \"depot1\"\ntasks = -3\n",
                        "[[limit]]\nowner = \"depot9\"\ntasks = 3\n",
                        "[[tenant]]\nname = \"x\"\nshare = -0.5\n",
                        "[line]\nwindow = \"wide\"\n")) {
            site.writeFile(NEW_PASSCODE, invalidSettings);
            assertThat(site.placer().reload()).contains("site.toml:");
        }
        assertThat(site.open(site.byPasscode("depot1", TlsSite.DEPOT1_PASSCODE)).outcome())
                .isEqualTo(RecordingConnection.CONNECTED);
        RecordingConnection operator = site.openWithReplies(site.byPasscode("ops", "o"));
        assertThat(operator.query(Destinations.LIMITS, LimitsQuery.getDefaultInstance()).text())
                .contains("not reloaded, the former stays");
        operator.connection()
                .request(Destinations.RELOAD, Reload.getDefaultInstance(), error -> {});
        assertThat(operator.closeReason()).contains("not reloaded", "line.window");
        Files.delete(site.keys().key("placer"));
        site.writeFile(NEW_PASSCODE, "");
        assertThat(site.placer().reload()).contains("placer.key");
    }

    @Test
    void appliesChangedQuotaAndKeepsPendingTasks() throws Exception {
        site.writeFile(TlsSite.DEPOT1_PASSCODE, "[[limit]]\nowner = \"depot1\"\ntasks = 1\n");
        assertThat(site.placer().reload()).isNull();
        TaskClient owner = site.client(site.byCertificate("depot1"));
        List<CompletableFuture<TaskNews>> results = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            results.add(owner.submit(TlsSite.task("t" + i)));
        }
        awaitReason(owner, "t4", Reason.Kind.OWN_LIMIT, true);
        assertThat(reason(owner, "t4").getSentence()).contains("limit of tasks");
        site.writeFile(TlsSite.DEPOT1_PASSCODE, "");
        assertThat(site.placer().reload()).isNull();
        awaitReason(owner, "t4", Reason.Kind.OWN_LIMIT, false);
        assertThat(reason(owner, "t4").getKind()).isEqualTo(Reason.Kind.NO_NODES);
        assertThat(results).noneMatch(CompletableFuture::isDone);
    }

    /** Waits until the reason of a task is of a kind, or until it no longer is. */
    private static void awaitReason(
            TaskClient client, String task, Reason.Kind kind, boolean expected) {
        await().atMost(REASON_TIMEOUT)
                .pollInterval(REASON_POLL_INTERVAL)
                .until(() -> (reason(client, task).getKind() == kind) == expected);
    }

    /** The reason of a pending task; an empty one while the client is not connected. */
    private static Reason reason(TaskClient client, String task) throws Exception {
        return client.why(task)
                .handle((why, error) -> error == null ? why : Why.getDefaultInstance())
                .get(10, TimeUnit.SECONDS)
                .getReason();
    }
}
