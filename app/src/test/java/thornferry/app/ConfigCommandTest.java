package thornferry.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.testbed.scenario.ScenarioFile;

class ConfigCommandTest {
    @TempDir Path folder;

    @Test
    void namesKeyOfEachInvalidValue() throws Exception {
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
        CommandResult invalid = CommandRunner.run("config", "check", file.toString());
        assertThat(invalid.code()).isEqualTo(2);
        assertThat(invalid.err())
                .contains(
                        "tenant[1].share: must be a number from 0 to 1",
                        "limit[0].tasks: must be a number from 1",
                        "line.oldest-turn",
                        "class[0].at-limit: must be one of wait, refuse",
                        "account[1].passcode-hash: must be a hash printed by",
                        "limit[2].tenant: no tenant nobody",
                        "limit[3].owner: a limit must set exactly one of",
                        "tls.certificate: no such file",
                        "tls.key: is missing");
    }

    @Test
    void acceptsExampleFiles() throws Exception {
        assertThat(CommandRunner.run("config", "check", "../examples/site.toml").out())
                .contains("valid; 3 task classes, 2 machine kinds, 3 accounts");
        for (String scenario : new String[] {"short", "long"}) {
            ScenarioFile.read(Path.of("../examples/days/" + scenario + ".toml"));
        }
    }
}
