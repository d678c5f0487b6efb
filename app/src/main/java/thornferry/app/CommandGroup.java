package thornferry.app;

import java.util.concurrent.Callable;
import picocli.CommandLine;

/** A command that only groups others; without one of them it is used incorrectly. */
abstract class CommandGroup implements Callable<Integer> {
    private static final String SUBCOMMAND_MISSING = "a command is needed";

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), SUBCOMMAND_MISSING);
    }
}
