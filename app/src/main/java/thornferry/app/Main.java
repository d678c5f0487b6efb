package thornferry.app;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParseResult;
import picocli.CommandLine.ScopeType;
import thornferry.config.ConfigException;

/** The root command of the command line; runs one command and exits with its {@link ExitCode}. */
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
            "Exit codes: 0 success, 1 the command failed, 2 invalid usage or configuration."
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
    private static final Logger LOG = LoggerFactory.getLogger(Main.class);
    private static final String DEFAULT_LOG_LEVEL = "info";

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--log",
            scope = ScopeType.INHERIT,
            paramLabel = "<log>",
            defaultValue = "text",
            description =
                    "Format of the log on standard error, one of ${COMPLETION-CANDIDATES}; default:"
                            + " ${DEFAULT-VALUE}.")
    void setLogFormat(LogFormat format) {
        Logging.setFormat(format);
    }

    @Option(
            names = "--log-level",
            scope = ScopeType.INHERIT,
            paramLabel = "<level>",
            defaultValue = DEFAULT_LOG_LEVEL,
            description = "Log level: error, warn, info or debug; default: ${DEFAULT-VALUE}.")
    void setLogLevel(String level) {
        Logging.setLevel(level);
    }

    /** Runs the command line and exits with its code. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs one command and returns its exit code. */
    static int run(String... args) {
        Logging.setFormat(LogFormat.text);
        Logging.setLevel(DEFAULT_LOG_LEVEL);
        return new CommandLine(new Main())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler(Main::reportFailure)
                .execute(args);
    }

    private static int reportFailure(
            Exception failure, CommandLine command, ParseResult parseResult) {
        if (failure instanceof ConfigException invalidFile) {
            invalidFile.complaints().forEach(command.getErr()::println);
            return ExitCode.INVALID_USAGE;
        }
        Object message = failure.getMessage() == null ? failure : failure.getMessage();
        command.getErr().println("thornferry: " + message);
        LOG.debug("command failed", failure);
        return ExitCode.FAILED;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is required");
    }
}
