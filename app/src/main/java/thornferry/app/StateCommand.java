package thornferry.app;

import picocli.CommandLine.Command;

/** Groups the commands on the journals of placers. */
@Command(
        name = "state",
        description = "Look at, check or compact what a placer keeps over restarts.",
        subcommands = {StateShowCommand.class, StateVerifyCommand.class, StateCompactCommand.class},
        footer = {
            "",
            "FOLDER is that of the configuration's [state] table, or of one instance below it.",
            "",
            "Examples:",
            "  thornferry state show state --tasks",
            "  thornferry state verify state && thornferry state compact state/placer-0"
        })
final class StateCommand extends CommandGroup {}
