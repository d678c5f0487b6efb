package thornferry.app;

import picocli.CommandLine.Command;

/** Groups the commands on the journals of placers. */
@Command(
        name = "state",
        description = "Shows, verifies or compacts the journals of placers.",
        subcommands = {StateShowCommand.class, StateVerifyCommand.class, StateCompactCommand.class},
        footer = {
            "",
            "FOLDER is the state folder of the configuration's table [state], or the folder of one"
                    + " instance below it.",
            "",
            "Examples:",
            "  thornferry state show state --tasks",
            "  thornferry state verify state && thornferry state compact state/placer-0"
        })
final class StateCommand extends CommandGroup {}
