package thornferry.app;

import java.util.concurrent.Callable;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import thornferry.config.ConfigException;

/**
 * The command line. Exit codes: 0 good, 1 the run failed, 2 bad use or configuration; submit has
 * more.
 */
@Command(
        name = "thornferry",
        scope = ScopeType.INHERIT,
        mixinStandardHelpOptions = true,
        version = "thornferry 0.2.0",
        description = "Places long-running work on the machines of a cluster.",
        synopsisSubcommandLabel = "COMMAND",
        footer = {
            "",
            "First steps:",
            "  thornferry demo",
            "  thornferry submit --class gauge-relay",
            "",
            "Exit codes: 0 good, 1 the run failed, 2 bad use or configuration."
        },
        subcommands = {
            DemoCommand.class,
            PlacerCommand.class,
            AgentCommand.class,
            SubmitCommand.class,
            StopCommand.class,
            WhyCommand.class,
            WaitingCommand.class,
            LimitsCommand.class,
            NodesCommand.class,
            DrainCommand.class,
            ScenarioCommand.class,
            AuditCommand.class,
            LoadCommand.class,
            OverloadCommand.class,
            ConfigCommand.class,
            KeysCommand.class,
            StateCommand.class,
            SimHostCommand.class,
            ServeCommand.class
        })
public final class Main implements Runnable {
    static final int FAILED = 1;
    static final int BAD_USE = 2;

    enum LogForm {
        text,
        json
    }

    @Option(
            names = "--log",
            scope = ScopeType.INHERIT,
            defaultValue = "text",
            description = "Form of the log on standard error: ${COMPLETION-CANDIDATES}.")
    void log(LogForm form) {
        Logging.form(form == LogForm.json);
    }

    @Option(
            names = "--log-level",
            scope = ScopeType.INHERIT,
            defaultValue = "info",
            description = "error, warn, info or debug.")
    void level(String level) {
        Logging.level(level);
    }

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    /** Runs the command line and exits with its code. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs one command and gives its exit code. */
    static int run(String... args) {
        Logging.form(false);
        Logging.level("info");
        CommandLine line = new CommandLine(new Main());
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setExecutionExceptionHandler(
                (e, command, parsed) -> {
                    if (e instanceof ConfigException bad) {
                        bad.complaints().forEach(command.getErr()::println);
                        return BAD_USE;
                    }
                    command.getErr()
                            .println(
                                    "thornferry: " + (e.getMessage() == null ? e : e.getMessage()));
                    LoggerFactory.getLogger(Main.class).debug("the command failed", e);
                    return FAILED;
                });
        return line.execute(args);
    }

    /** The parent of commands that only group others. */
    abstract static class Group implements Callable<Integer> {
        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
        }
    }
}
