package thornferry.app;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine;

/** Runs commands in this process and captures their output. */
final class CommandRunner {
    private CommandRunner() {}

    static synchronized CommandResult run(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream capturedOut = new ByteArrayOutputStream();
        ByteArrayOutputStream capturedErr = new ByteArrayOutputStream();
        System.setOut(new PrintStream(capturedOut, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(capturedErr, true, StandardCharsets.UTF_8));
        try {
            return new CommandResult(
                    Main.run(args),
                    capturedOut.toString(StandardCharsets.UTF_8),
                    capturedErr.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    static CommandResult run(List<String> args) {
        return run(args.toArray(new String[0]));
    }

    /** Runs a command and appends options to its arguments. */
    static CommandResult runWith(List<String> options, String... command) {
        List<String> args = new ArrayList<>(List.of(command));
        args.addAll(options);
        return run(args);
    }

    /** Runs a command with the given text as standard input. */
    static CommandResult runWithInput(String input, String... args) {
        InputStream in = System.in;
        try {
            System.setIn(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)));
            return run(args);
        } finally {
            System.setIn(in);
        }
    }

    /** Starts a command in a new thread without capturing its output. */
    static Thread runInBackground(String... args) {
        Thread thread = new Thread(() -> new CommandLine(new Main()).execute(args));
        thread.start();
        return thread;
    }
}
