package thornferry.protocol;

/** The destinations of a placer; docs/protocol.md describes each. */
public final class Destinations {
    public static final String TASKS = "/tasks";
    public static final String STOP = "/tasks/stop";
    public static final String RESULTS = "/tasks/results";

    /** SUBSCRIBE: the client's pending tasks as their reasons change. SEND: a table of them. */
    public static final String WAITING = "/tasks/waiting";

    public static final String WHY = "/tasks/why";
    public static final String LIMITS = "/limits";
    public static final String RELOAD = "/placer/reload";

    /** Prefix of every {@code reply-to}; private to the requesting connection. */
    public static final String REPLIES = "/replies/";

    public static final String REGISTER = "/nodes/register";
    public static final String ANSWERS = "/nodes/answers";
    public static final String PROBES = "/nodes/probes";
    public static final String DRAIN = "/nodes/drain";
    public static final String NODES = "/nodes";
    private static final String OFFERS_START = "/nodes/";
    private static final String OFFERS_END = "/offers";

    private Destinations() {}

    /** The destination of the offers to a node. */
    public static String offers(String node) {
        return OFFERS_START + node + OFFERS_END;
    }

    /** The node of an offers destination, or null where it is none. */
    public static String nodeOfOffers(String destination) {
        boolean offers =
                destination.startsWith(OFFERS_START)
                        && destination.endsWith(OFFERS_END)
                        && destination.length() > OFFERS_START.length() + OFFERS_END.length();
        return offers
                ? destination.substring(
                        OFFERS_START.length(), destination.length() - OFFERS_END.length())
                : null;
    }
}
