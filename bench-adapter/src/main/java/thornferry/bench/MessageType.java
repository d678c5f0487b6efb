package thornferry.bench;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The types of the simulator's messages, and their names in its protocol. */
enum MessageType {
    BATCH_START("mark"),
    BATCH_END("eob"),
    /** An instance starts with the given settings. */
    CONFIGURE("configure"),
    /** An instance ends. */
    DESTROY("destroy"),
    /** The number and the entries of a machine list; list updates refer to it by the number. */
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
    /** A message from another instance; ignored, because the modules do not exchange messages. */
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

    /** Returns the type with a name; empty if this version does not know the name. */
    static Optional<MessageType> ofWireName(String name) {
        return Optional.ofNullable(BY_WIRE_NAME.get(name));
    }
}
