package thornferry.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Tests usage errors, help and exit codes of the whole command line. */
class MainTest {
    @TempDir Path folder;

    @Test
    void invalidUsageAndInvalidFilesExitWithTwo() throws Exception {
        assertThat(CommandRunner.run().code()).isEqualTo(2);
        assertThat(CommandRunner.run("frob").code()).isEqualTo(2);
        assertThat(CommandRunner.run("submit").err()).contains("--class");
        assertThat(CommandRunner.run("config").code()).isEqualTo(2);
        CommandResult missing =
                CommandRunner.run("config", "check", folder.resolve("none.toml").toString());
        assertThat(missing.code()).isEqualTo(2);
        assertThat(missing.err()).contains("none.toml: no such file");
        Path file = folder.resolve("site.toml");
        Files.writeString(
                file,
                Files.readString(Path.of("../examples/site.toml"))
                        .replace("port = 61613", "port = 99999")
                        .replace("effect = \"safe\"", "effect = \"mostly\"")
                        .replace("seed = 1", "sede = 1"));
        CommandResult invalid = CommandRunner.run("placer", file.toString());
        assertThat(invalid.code()).isEqualTo(2);
        assertThat(invalid.err())
                .contains("site.toml:7: placer.port: must be a number from 0 to 65535, not 99999")
                .contains("class[0].effect: must be one of safe, keyed, unsafe")
                .contains("placer.sede: is not known");
        Files.writeString(file, "[placer\n");
        assertThat(CommandRunner.run("config", "check", file.toString()).err())
                .contains("site.toml:1: not TOML");
    }

    @Test
    void everyCommandPrintsHelpOnStandardOutput() {
        List<List<String>> commands = new ArrayList<>();
        collectCommands(new CommandLine(new Main()), List.of(), commands);
        assertThat(commands).hasSizeGreaterThan(30);
        for (List<String> command : commands) {
            assertPrintsHelp(command, "--help");
            assertPrintsHelp(command, "-h");
        }
    }

    private static void assertPrintsHelp(List<String> command, String helpOption) {
        CommandResult help =
                CommandRunner.runWith(List.of(helpOption), command.toArray(new String[0]));
        assertThat(help.code()).as("%s", command).isZero();
        assertThat(help.out())
                .as("%s", command)
                .startsWith(("Usage: thornferry " + String.join(" ", command)).strip());
        assertThat(help.err()).as("%s", command).isEmpty();
    }

    private static void collectCommands(
            CommandLine parent, List<String> path, List<List<String>> commands) {
        commands.add(path);
        parent.getSubcommands()
                .forEach(
                        (name, command) -> {
                            List<String> subcommandPath = new ArrayList<>(path);
                            subcommandPath.add(name);
                            collectCommands(command, subcommandPath, commands);
                        });
    }
}
