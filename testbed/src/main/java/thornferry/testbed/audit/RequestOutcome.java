package thornferry.testbed.audit;

/** The result of a request. */
enum RequestOutcome {
    /** The task was accepted by a node. */
    PLACED("placed"),
    /** No node has it; to retry is harmless. */
    REJECTED("refused"),
    /** It is not known whether it ran. */
    FAILED("failed"),
    /** A word that the protocol does not know. */
    UNKNOWN("unknown");

    private final String protocolName;

    RequestOutcome(String protocolName) {
        this.protocolName = protocolName;
    }

    static RequestOutcome ofProtocolName(String name) {
        for (RequestOutcome outcome : values()) {
            if (outcome.protocolName.equals(name)) {
                return outcome;
            }
        }
        return UNKNOWN;
    }

    String protocolName() {
        return protocolName;
    }
}
