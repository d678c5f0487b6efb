package thornferry.app;

import java.io.Console;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import thornferry.security.Passcodes;

/** Prints the hash of a passcode, for an account of the site's configuration. */
@Command(
        name = "passcode",
        description =
                "Reads a passcode from the terminal or standard input and prints its hash, for the"
                        + " key passcode-hash.")
final class PasscodeCommand implements Callable<Integer> {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        String passcode = readPasscode();
        if (passcode.isEmpty() || passcode.length() > Passcodes.MAX_LENGTH) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "a passcode must have 1 to " + Passcodes.MAX_LENGTH + " characters");
        }
        System.out.println(Passcodes.hash(passcode));
        return ExitCode.OK;
    }

    /** Reads from the terminal without echo, or from standard input if there is no terminal. */
    @SuppressWarnings(
            "SystemConsoleNull") // correct up to Java 21; from 22 on, use Console.isTerminal
    private static String readPasscode() throws IOException {
        Console console = System.console();
        if (console != null) {
            return new String(console.readPassword("passcode: "));
        }
        return new String(System.in.readAllBytes(), StandardCharsets.UTF_8).strip();
    }
}
