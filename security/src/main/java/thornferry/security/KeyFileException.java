package thornferry.security;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Thrown if a certificate or key cannot be read, created or used. The message contains the name or
 * the file of the certificate or key.
 */
public abstract sealed class KeyFileException extends IOException {
    private static final long serialVersionUID = 1;

    private KeyFileException(String message) {
        super(message);
    }

    private KeyFileException(String message, Throwable cause) {
        super(message, cause);
    }

    /**
     * Thrown if the directory already has an authority, whose certificates a new one would
     * invalidate.
     */
    public static final class AuthorityExists extends KeyFileException {
        private static final long serialVersionUID = 1;

        AuthorityExists(Path authority) {
            super(
                    authority
                            + ": the authority already exists; a new one would invalidate its"
                            + " certificates");
        }
    }

    /** Thrown if a name is not allowed for a certificate. */
    public static final class InvalidName extends KeyFileException {
        private static final long serialVersionUID = 1;

        InvalidName(String name) {
            super(
                    name
                            + ": the name of a certificate must have 1 to 64 letters, digits, dots,"
                            + " hyphens or underscores, and must not be "
                            + KeyFiles.AUTHORITY);
        }
    }

    /** Thrown if a file does not exist or cannot be read. */
    public static final class Unreadable extends KeyFileException {
        private static final long serialVersionUID = 1;

        Unreadable(Path file, String hint) {
            super(file + ": the file does not exist or cannot be read" + hint);
        }
    }

    /** Thrown if a file does not contain the expected certificate or private key. */
    public static final class InvalidContent extends KeyFileException {
        private static final long serialVersionUID = 1;

        InvalidContent(Path file, String problem) {
            super(file + ": " + problem);
        }

        InvalidContent(Path file, Exception cause) {
            super(file + ": " + cause.getMessage(), cause);
        }
    }

    /** Thrown if a key pair or certificate cannot be generated. */
    public static final class GenerationFailed extends KeyFileException {
        private static final long serialVersionUID = 1;

        GenerationFailed(String subject, Exception cause) {
            super("the " + subject + " could not be generated: " + cause.getMessage(), cause);
        }
    }
}
