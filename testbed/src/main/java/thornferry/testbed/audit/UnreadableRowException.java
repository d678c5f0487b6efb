package thornferry.testbed.audit;

import com.fasterxml.jackson.core.JsonProcessingException;

/** A line of a capture is not JSON. */
final class UnreadableRowException extends Exception {
    private static final long serialVersionUID = 1L;

    UnreadableRowException(JsonProcessingException cause) {
        super("not JSON: " + cause.getOriginalMessage(), cause);
    }
}
