package thornferry.app;

import java.util.concurrent.Callable;
import picocli.CommandLine;

/** A command that only groups subcommands; running it without a subcommand is an error. */
abstract class CommandGroup implements Callable<Integer> {
    private static final String SUBCOMMAND_MISSING = "a subcommand is required";

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), SUBCOMMAND_MISSING);
    }
}
