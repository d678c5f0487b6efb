package thornferry.testbed.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.config.ConfigException;
import thornferry.config.TomlFile;
import thornferry.testbed.audit.TraceAuditor;

class ScenarioRunnerTest {
    private static final Path SHORT = Path.of("../examples/days/short.toml");

    @TempDir Path folder;

    @Test
    void keepsAllGuaranteesInShortScenarioWithFaults() throws Exception {
        Path capture = folder.resolve("day.jsonl");
        ScenarioRunner.Outcome outcome = ScenarioRunner.play(ScenarioFile.read(SHORT), capture);
        // another build on the same machine may cause delays; a second is far below every maxWait
        // here
        TraceAuditor.Verdict verdict = TraceAuditor.audit(capture, 1_000_000);
        assertThat(verdict.violations()).isEmpty();
        assertThat(outcome.moduleFailures()).isZero();
        assertThat(verdict.requests()).isGreaterThan(500);
        assertThat(verdict.results()).isGreaterThan(500);
        assertThat(verdict.starts()).isGreaterThan(300);
    }

    /**
     * The scenario of many kills, shortened to about 20 seconds: six incarnations of the placer,
     * with kills of nodes at the same time.
     */
    @Test
    void startsNoNonIdempotentTaskTwiceWhenPlacersAndNodesAreKilled() throws Exception {
        String text = Files.readString(Path.of("../examples/days/many-kills.toml"));
        text =
                text.replace("\nseconds = 610", "\nseconds = 14")
                        .replace("quiet-seconds = 40", "quiet-seconds = 10")
                        .replace("per-second = 65.0", "per-second = 25.0")
                        .replace("count = 18", "count = 6")
                        .replace("patience-ms = 20000", "patience-ms = 8000")
                        .replace("every-ms = 4500\ntimes = 134", "every-ms = 4500\ntimes = 3")
                        .replace("every-ms = 9000\ntimes = 66", "every-ms = 5500\ntimes = 2");
        Path script = Files.writeString(folder.resolve("kills.toml"), text);
        Path capture = folder.resolve("kills.jsonl");
        ScenarioRunner.Outcome outcome = ScenarioRunner.play(ScenarioFile.read(script), capture);
        TraceAuditor.Verdict verdict = TraceAuditor.audit(capture, 1_000_000);
        assertThat(verdict.violations()).isEmpty();
        assertThat(outcome.moduleFailures()).isZero();
        assertThat(Files.readString(capture).split("placer-killed", -1)).hasSize(6); // five kills
        assertThat(verdict.starts()).isGreaterThan(100);
    }

    private static void assertComplaint(String from, String to, String... parts) throws Exception {
        String text = Files.readString(SHORT);
        assertThat(text).contains(from);
        assertThatThrownBy(
                        () ->
                                ScenarioFile.of(
                                        Path.of("day.toml"),
                                        TomlFile.parse("day.toml", text.replaceFirst(from, to))))
                .isInstanceOf(ConfigException.class)
                .hasMessageContainingAll(parts);
    }

    @Test
    void reportsFileLineAndKeyOfInvalidScenario() throws Exception {
        assertComplaint(
                "kind = \"mute\"",
                "kind = \"moot\"",
                "day.toml:",
                "trouble[2].kind",
                "must be one of crash, pause");
        assertComplaint(
                "at-seconds = 2.0", "at-seconds = -2.0", "day.toml:", "trouble[0].at-seconds");
        assertComplaint(
                "at-seconds = 2.0",
                "at-seconds = 99.0",
                "trouble[0].at-seconds",
                "comes after the day's 24 seconds");
        assertComplaint(
                "kind = \"std-node\"", "kind = \"no-node\"", "fleet[0].kind", "no kind no-node");
        assertComplaint(
                "class = \"depot-sync\"",
                "class = \"nothing\"",
                "traffic[1].class",
                "no class nothing");
        assertComplaint("count = 8", "count = 8.5", "fleet[0].count", "whole number");
        assertComplaint("seconds = 24", "secs = 24", "day.secs", "is not known");
    }
}
