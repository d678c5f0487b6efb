package thornferry.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Option;
import thornferry.security.Keys;

/** A command that works on the certificates in one directory. */
abstract class KeyDirectoryCommand implements Callable<Integer> {
    @Option(
            names = "--dir",
            paramLabel = "<directory>",
            defaultValue = "keys",
            description = "Directory of certificates and keys; default: ${DEFAULT-VALUE}.")
    private Path directory;

    Keys keys() {
        return new Keys(directory);
    }
}
