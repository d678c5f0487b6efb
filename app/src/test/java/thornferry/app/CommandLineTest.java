package thornferry.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeBehavior;
import thornferry.agent.NodeShape;
import thornferry.agent.PlacerLogin;
import thornferry.config.SiteFile;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.requests.TaskSpec;
import thornferry.placer.Placer;
import thornferry.protocol.Heartbeat;
import thornferry.security.Tls;
import thornferry.state.Durability;
import thornferry.state.JournalFile;
import thornferry.testbed.scenario.ScenarioFile;

/** The commands as a user gives them: what is printed where, and the exit codes. */
class CommandLineTest {
    private static DemoCommand.Running demo;
    private static String port;

    @TempDir Path folder;

    private record Ran(int code, String out, String err) {}

    @BeforeAll
    static void start() throws Exception {
        Logging.form(false);
        Logging.level("error");
        demo = DemoCommand.start(0);
        port = Integer.toString(demo.address().getPort());
        for (int i = 0; i < 100 && !run("nodes", "--port", port).out().contains("node-3"); i++) {
            Thread.sleep(100);
        }
    }

    @AfterAll
    static void end() {
        demo.close();
    }

    private static synchronized Ran run(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream o = new ByteArrayOutputStream();
        ByteArrayOutputStream e = new ByteArrayOutputStream();
        System.setOut(new PrintStream(o, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(e, true, StandardCharsets.UTF_8));
        try {
            return new Ran(
                    Main.run(args),
                    o.toString(StandardCharsets.UTF_8),
                    e.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Test
    void submitPrintsTheResultAndItsExitCodeTellsIt() {
        Ran placed =
                run("submit", "--port", port, "--class", "gauge-relay", "--id", "t1", "--json");
        assertThat(placed.code()).isZero();
        assertThat(placed.out()).contains("\"task\":\"t1\"").contains("\"result\":\"placed\"");
        Ran refused =
                run(
                        "submit",
                        "--port",
                        port,
                        "--class",
                        "gauge-relay",
                        "--cores",
                        "900",
                        "--patience-ms",
                        "200");
        assertThat(refused.code()).isEqualTo(3);
        assertThat(refused.out()).contains("refused").contains("try again in");
        Ran odd = run("submit", "--port", port, "--class", "odd");
        assertThat(odd.code()).isEqualTo(1);
        assertThat(odd.err()).contains("taskClass odd is not known");
        Ran wrong = run("submit", "--port", port, "--passcode", "x", "--class", "gauge-relay");
        assertThat(wrong.code()).isEqualTo(1);
        assertThat(wrong.err()).contains("login or passcode not accepted");
    }

    @Test
    void submitFollowsToTheEnd() {
        Ran ran =
                run(
                        "submit",
                        "--port",
                        port,
                        "--class",
                        "levy-run",
                        "--id",
                        "t2",
                        "--runs-for-ms",
                        "100",
                        "--follow");
        assertThat(ran.out())
                .contains("task t2 placed on node-")
                .contains("task t2 ended on node-");
    }

    @Test
    void aTaskIsStopped() {
        run("submit", "--port", port, "--class", "gauge-relay", "--id", "t3");
        assertThat(run("stop", "--port", port, "t3").code()).isZero();
        Ran unknown = run("stop", "--port", port, "t99");
        assertThat(unknown.code()).isEqualTo(1);
        assertThat(unknown.err()).contains("no task t99 of yours");
    }

    @Test
    void aNodeIsDrainedAndTheListShowsIt() {
        assertThat(run("drain", "--port", port, "node-2").code()).isZero();
        assertThat(run("nodes", "--port", port).out()).containsPattern("node-2 +draining");
        assertThat(run("drain", "--port", port, "--off", "node-2").code()).isZero();
        assertThat(run("nodes", "--port", port, "--json").out())
                .contains("\"node\":\"node-2\"")
                .doesNotContain("draining");
        assertThat(run("drain", "--port", port, "node-9").err()).contains("no node node-9");
    }

    @Test
    void whyTellsAWaitingTaskAPlacedOneAndAnUnknownOneApart() throws Exception {
        Thread waits =
                new Thread(
                        () ->
                                run0(
                                        "submit",
                                        "--port",
                                        port,
                                        "--class",
                                        "gauge-relay",
                                        "--cores",
                                        "900",
                                        "--id",
                                        "w1",
                                        "--patience-ms",
                                        "20000"));
        waits.start();
        Ran why = run("why", "--port", port, "w1");
        for (int i = 0; i < 100 && !why.out().contains("waits"); i++) {
            Thread.sleep(50);
            why = run("why", "--port", port, "w1");
        }
        assertThat(why.code()).isZero();
        assertThat(why.out())
                .contains("task w1 waits: No node is large enough")
                .contains("nodes: 3");
        assertThat(run("why", "--port", port, "--json", "w1").out())
                .contains("\"kind\":\"NO_FIT\"");
        assertThat(run("waiting", "--port", port).out())
                .containsPattern("no fit +1")
                .contains("1 wait");
        assertThat(run("limits", "--port", port).out()).contains("owner", "site", "demo");
        assertThat(run("stop", "--port", port, "w1").code()).isZero();
        waits.join(10_000);
        assertThat(run("why", "--port", port, "w1").out()).contains("task w1 failed");
        Ran unknown = run("why", "--port", port, "w9");
        assertThat(unknown.code()).isEqualTo(3);
        assertThat(unknown.err()).contains("no task w9 of yours");
        assertThat(run("limits", "--port", port, "--reload").err())
                .contains("not reloaded", "started without a file");
    }

    /** In the background: prints nowhere that a test looks. */
    private static void run0(String... args) {
        new picocli.CommandLine(new Main()).execute(args);
    }

    @Test
    void keysAreMadeShownAndRenewedAndPasscodesHashed() {
        String dir = folder.resolve("keys").toString();
        assertThat(run("keys", "owner", "depot1", "--dir", dir).err())
                .contains("make an authority first");
        assertThat(run("keys", "init", "--dir", dir).code()).isZero();
        assertThat(run("keys", "init", "--dir", dir).code()).isEqualTo(1);
        assertThat(run("keys", "server", "placer", "--dir", dir).code()).isZero();
        assertThat(run("keys", "owner", "depot1", "--days", "10", "--dir", dir).code()).isZero();
        Ran show = run("keys", "show", "--dir", dir);
        assertThat(show.out()).containsPattern("depot1 +owner").contains("renew it");
        assertThat(show.code()).as("one expires soon").isEqualTo(1);
        assertThat(run("keys", "show", "--dir", dir, "--soon-days", "5").code()).isZero();
        assertThat(run("keys", "renew", "depot1", "--dir", dir).code()).isZero();
        InputStream in = System.in;
        try {
            System.setIn(new ByteArrayInputStream("s3cret\n".getBytes(StandardCharsets.UTF_8)));
            assertThat(run("keys", "passcode").out()).startsWith("$argon2id$");
        } finally {
            System.setIn(in);
        }
    }

    @Test
    void badLimitsAndKeysAreNamedWithFileLineAndKey() throws Exception {
        String site = Files.readString(Path.of("../examples/site.toml"));
        Path file = folder.resolve("limits.toml");
        Files.writeString(
                file,
                site.replace("share = 0.3", "share = -0.3")
                                .replace("tasks = 2000", "tasks = -1")
                                .replace("oldest-turn = 8", "oldest-turn = 1")
                                .replace("at-limit = \"wait\"", "at-limit = \"hope\"")
                                .replace("passcode = \"change-me-too\"", "passcode-hash = \"x\"")
                        + "[[limit]]\n"
                        + "tenant = \"nobody\"\n"
                        + "[[limit]]\n"
                        + "owner = \"*\"\n"
                        + "site = true\n"
                        + "[tls]\n"
                        + "certificate = \"none.pem\"\n");
        Ran bad = run("config", "check", file.toString());
        assertThat(bad.code()).isEqualTo(2);
        assertThat(bad.err())
                .contains(
                        "tenant[1].share: must be a number from 0 to 1",
                        "limit[0].tasks: must be a number from 1",
                        "line.oldest-turn",
                        "class[0].at-limit: must be one of wait, refuse",
                        "account[1].passcode-hash: must be what",
                        "limit[2].tenant: no tenant nobody",
                        "limit[3].owner: a limit names one of",
                        "tls.certificate: no such file",
                        "tls.key: is missing");
    }

    @Test
    void badUseAndBadFilesExitWithTwoAndSayWhere() throws Exception {
        assertThat(run().code()).isEqualTo(2);
        assertThat(run("frob").code()).isEqualTo(2);
        assertThat(run("submit").err()).contains("--class");
        assertThat(run("config").code()).isEqualTo(2);
        Ran missing = run("config", "check", folder.resolve("none.toml").toString());
        assertThat(missing.code()).isEqualTo(2);
        assertThat(missing.err()).contains("none.toml: no such file");
        Path file = folder.resolve("site.toml");
        Files.writeString(
                file,
                Files.readString(Path.of("../examples/site.toml"))
                        .replace("port = 61613", "port = 99999")
                        .replace("effect = \"safe\"", "effect = \"mostly\"")
                        .replace("seed = 1", "sede = 1"));
        Ran bad = run("placer", file.toString());
        assertThat(bad.code()).isEqualTo(2);
        assertThat(bad.err())
                .contains("site.toml:7: placer.port: must be a number from 0 to 65535, not 99999")
                .contains("class[0].effect: must be one of safe, keyed, unsafe")
                .contains("placer.sede: is not known");
        Files.writeString(file, "[placer\n");
        assertThat(run("config", "check", file.toString()).err()).contains("site.toml:1: not TOML");
    }

    @Test
    void theExamplesAreGood() throws Exception {
        assertThat(run("config", "check", "../examples/site.toml").out())
                .contains("good; 3 classes, 2 kinds, 3 accounts");
        for (String day : new String[] {"short", "long"}) {
            ScenarioFile.read(Path.of("../examples/days/" + day + ".toml"));
        }
    }

    @Test
    void aPortThatIsTakenIsSaidAndExitsWithOne() {
        Ran ran = run("placer", "../examples/site.toml", "--port", port);
        assertThat(ran.code()).isEqualTo(1);
        assertThat(ran.err()).contains("cannot listen on 127.0.0.1:" + port);
    }

    @Test
    void simhostServesTheSimulatorsWire() {
        InputStream in = System.in;
        try {
            System.setIn(
                    new ByteArrayInputStream(
                            "[\"mark\",1,1]\n[\"eob\"]\n".getBytes(StandardCharsets.UTF_8)));
            assertThat(run("simhost")).isEqualTo(new Ran(0, "[\"done\",1]\n", ""));
        } finally {
            System.setIn(in);
        }
    }

    @Test
    void stateVerifyAcceptsTheJournalsOfVersion020() {
        Path stored = Path.of("../state/src/test/resources/journal-v1");
        Ran verified = run("state", "verify", stored.toString());
        assertThat(verified.code()).isZero();
        assertThat(verified.out())
                .contains("journal-2.tfj: whole, 12 lines")
                .contains("journal-1.tfj: its last line was not whole and is cut off at octet");
    }

    @Test
    void theStateOfAPlacerIsShownCheckedAndCompactedWithoutIt() throws Exception {
        Path state = folder;
        Path instance = state.resolve("p-0");
        TaskSpec wish = new TaskSpec("t-1", "levy-run", "s", "", 1, 1, null, 0);
        try (JournalFile journal = JournalFile.open(instance, "p-0", Durability.OS)) {
            journal.startIncarnation(List.of());
            for (int i = 0; i < 3; i++) {
                journal.append(
                        new JournalRecord.Offered(
                                1,
                                "a" + i,
                                "depot1",
                                "",
                                wish,
                                Idempotency.NON_IDEMPOTENT,
                                "n1",
                                7),
                        wrong -> {});
                journal.append(
                        new JournalRecord.NeverRan(2, "depot1", "t-1", "a" + i), wrong -> {});
            }
            journal.append(
                    new JournalRecord.Offered(
                            3, "a9", "depot1", "", wish, Idempotency.NON_IDEMPOTENT, "n2", 7),
                    wrong -> {});
            assertThat(run("state", "compact", instance.toString()).code())
                    .isEqualTo(1); // it is in use
        }
        assertThat(run("state", "show", state.toString(), "--tasks").out())
                .contains("placer p-0, 7 lines, {offered=1}")
                .contains("t-1")
                .contains("n2");
        assertThat(run("state", "verify", state.toString())).returns(0, Ran::code);
        assertThat(run("state", "compact", instance.toString()).out())
                .contains("7 lines before, 1 now");
        Path newest = JournalFile.files(instance).get(0);
        byte[] octets = Files.readAllBytes(newest);
        octets[30] ^= 1;
        Files.write(newest, octets);
        assertThat(run("state", "verify", state.toString())).returns(1, Ran::code);
        assertThat(run("state", "show", state.resolve("nowhere").toString()).err())
                .contains("is no folder");
    }

    @Test
    void everyCommandTellsItsHelpOnStandardOutput() {
        List<List<String>> commands = new ArrayList<>();
        collect(new picocli.CommandLine(new Main()), List.of(), commands);
        assertThat(commands).hasSizeGreaterThan(30);
        for (List<String> command : commands) {
            for (String word : new String[] {"--help", "-h"}) {
                List<String> line = new ArrayList<>(command);
                line.add(word);
                Ran help = run(line.toArray(new String[0]));
                assertThat(help.code()).as("%s", line).isZero();
                assertThat(help.out())
                        .as("%s", line)
                        .startsWith(("Usage: thornferry " + String.join(" ", command)).strip());
                assertThat(help.err()).as("%s", line).isEmpty();
            }
        }
    }

    private static void collect(
            picocli.CommandLine at, List<String> path, List<List<String>> into) {
        into.add(path);
        at.getSubcommands()
                .forEach(
                        (name, command) -> {
                            List<String> deeper = new ArrayList<>(path);
                            deeper.add(name);
                            collect(command, deeper, into);
                        });
    }

    /** From `keys init` to the first `submit`, as the README shows it: no login is ever given. */
    @Test
    void withACertificateNoLoginIsNeeded() throws Exception {
        String dir = folder.resolve("keys").toString();
        for (String[] made :
                new String[][] {
                    {"init"},
                    {"server", "placer-0"},
                    {"owner", "depot1"},
                    {"operator", "ops"},
                    {"agent", "node"}
                }) {
            List<String> line = new ArrayList<>(List.of("keys"));
            line.addAll(List.of(made));
            line.addAll(List.of("--dir", dir));
            assertThat(run(line.toArray(new String[0])).code()).isZero();
        }
        Path file = folder.resolve("site.toml");
        Files.writeString(
                file,
                Files.readString(Path.of("../examples/site.toml"))
                                .replace("settle-ms = 3000", "settle-ms = 0")
                        + "[tls]\n"
                        + "certificate = \"keys/placer-0.pem\"\n"
                        + "key = \"keys/placer-0.key\"\n"
                        + "authorities = \"keys/ca.pem\"\n"
                        + "client-certificates = \"wanted\"\n");
        SiteFile site = SiteFile.read(file);
        try (Placer placer = Placer.start(site.site(), "127.0.0.1", 0, 1);
                AgentPool nodes =
                        new AgentPool(
                                1,
                                Tls.client(
                                        new Tls.Pem(
                                                Path.of(dir, "node.pem"),
                                                Path.of(dir, "node.key"),
                                                Path.of(dir, "ca.pem"))))) {
            String at = Integer.toString(placer.addresses().get(0).getPort());
            nodes.add(
                    new NodeShape("n1", "std-node", "hall-a", 0, 24, 48),
                    NodeBehavior.usual(Map.of()),
                    new PlacerLogin(
                            List.of(placer.addresses().get(0)),
                            null,
                            null,
                            new Heartbeat(500, 500)),
                    1,
                    NodeAgent.Watcher.NONE);
            String[] operator = {"--port", at, "--ca", dir + "/ca.pem", "--cert", dir + "/ops.pem"};
            String[] owner = {"--port", at, "--ca", dir + "/ca.pem", "--cert", dir + "/depot1.pem"};
            for (int i = 0; i < 100 && !with(operator, "nodes").out().contains("n1"); i++) {
                Thread.sleep(100);
            }
            assertThat(with(operator, "nodes").out()).containsPattern("n1 +ready");
            assertThat(with(owner, "submit", "--class", "gauge-relay", "--id", "c1").out())
                    .contains("task c1 placed on n1");
            assertThat(with(owner, "why", "c1").out()).contains("c1");
            assertThat(with(owner, "waiting").code()).isZero();
            assertThat(with(owner, "limits").out()).contains("depot1");
            assertThat(with(operator, "limits").out()).contains("site");
            assertThat(with(operator, "drain", "n1").code()).isZero();
            assertThat(with(operator, "drain", "n1", "--off").code()).isZero();
            assertThat(with(owner, "stop", "c9").err()).contains("no task c9 of yours");
            assertThat(with(owner, "drain", "n1").err()).contains("login depot1 may not use");
        }
    }

    private static Ran with(String[] options, String... command) {
        List<String> line = new ArrayList<>(List.of(command));
        line.addAll(List.of(options));
        return run(line.toArray(new String[0]));
    }
}
