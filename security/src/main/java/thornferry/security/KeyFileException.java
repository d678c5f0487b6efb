package thornferry.security;

import java.io.IOException;
import java.nio.file.Path;

/** A certificate or key cannot be read, created or used; the message names the file or name. */
public abstract sealed class KeyFileException extends IOException {
    private static final long serialVersionUID = 1;

    private KeyFileException(String message) {
        super(message);
    }

    private KeyFileException(String message, Throwable cause) {
        super(message, cause);
    }

    /** The directory has an authority already; a new one would void its certificates. */
    public static final class AuthorityExists extends KeyFileException {
        private static final long serialVersionUID = 1;

        AuthorityExists(Path authority) {
            super(authority + ": there is an authority already; its certificates would be void");
        }
    }

    /** The name cannot be used for a certificate. */
    public static final class InvalidName extends KeyFileException {
        private static final long serialVersionUID = 1;

        InvalidName(String name) {
            super(
                    name
                            + ": a name has 1 to 64 letters, digits, dots, hyphens or underscores,"
                            + " and is not "
                            + KeyFiles.AUTHORITY);
        }
    }

    /** A file is missing or may not be read. */
    public static final class Unreadable extends KeyFileException {
        private static final long serialVersionUID = 1;

        Unreadable(Path file, String advice) {
            super(file + ": no such file, or it cannot be read" + advice);
        }
    }

    /** A file does not contain what its name promises. */
    public static final class InvalidContent extends KeyFileException {
        private static final long serialVersionUID = 1;

        InvalidContent(Path file, String problem) {
            super(file + ": " + problem);
        }

        InvalidContent(Path file, Exception cause) {
            super(file + ": " + cause.getMessage(), cause);
        }
    }

    /** A key pair or certificate cannot be generated. */
    public static final class GenerationFailed extends KeyFileException {
        private static final long serialVersionUID = 1;

        GenerationFailed(String subject, Exception cause) {
            super("no " + subject + " could be made: " + cause.getMessage(), cause);
        }
    }
}
