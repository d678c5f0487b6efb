package thornferry.bench;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The messages of the simulator, and their names on the wire. */
enum MessageType {
    BATCH_START("mark"),
    BATCH_END("eob"),
    /** An instance starts, with its settings. */
    CONFIGURE("configure"),
    /** An instance ends. */
    DESTROY("destroy"),
    /** The entries of a machine list, to which list updates refer by number. */
    MACHINE_LIST("manifest"),
    LIST_UPDATE("registry"),
    PLACEMENT_REQUESTED("pending"),
    TASK_ADOPTED("standing"),
    ATTEMPT_ACCEPTED("placed"),
    ATTEMPT_ENDED("reportBack"),
    TASK_OBSERVED("heartbeat"),
    HEALTH_CHECK_COMPLETED("pingResult"),
    CLIENT_DISCONNECTED("clientLeft"),
    TIMER_FIRED("fired"),
    /** A message of another instance; the instances of this module share nothing. */
    GOSSIP("whisper");

    private static final Map<String, MessageType> BY_WIRE_NAME =
            Arrays.stream(values())
                    .collect(Collectors.toMap(MessageType::wireName, Function.identity()));

    private final String wireName;

    MessageType(String wireName) {
        this.wireName = wireName;
    }

    String wireName() {
        return wireName;
    }

    /** The message of a name; empty for one that came after this version. */
    static Optional<MessageType> ofWireName(String name) {
        return Optional.ofNullable(BY_WIRE_NAME.get(name));
    }
}
