package thornferry.protocol;

/** The STOMP destinations of a placer; docs/protocol.md describes each of them. */
public final class Destinations {
    public static final String TASKS = "/tasks";
    public static final String STOP = "/tasks/stop";
    public static final String RESULTS = "/tasks/results";

    /**
     * SUBSCRIBE delivers the client's pending tasks whenever their pending reasons change; SEND
     * queries a table of the pending tasks by reason.
     */
    public static final String WAITING = "/tasks/waiting";

    public static final String WHY = "/tasks/why";
    public static final String LIMITS = "/limits";
    public static final String RELOAD = "/placer/reload";

    /**
     * The prefix of every {@code reply-to} destination. Such a destination belongs to the
     * connection that sent the query.
     */
    public static final String REPLIES = "/replies/";

    public static final String REGISTER = "/nodes/register";
    public static final String ANSWERS = "/nodes/answers";
    public static final String PROBES = "/nodes/probes";
    public static final String DRAIN = "/nodes/drain";
    public static final String NODES = "/nodes";
    private static final String OFFERS_PREFIX = "/nodes/";
    private static final String OFFERS_SUFFIX = "/offers";

    private Destinations() {}

    /** Returns the destination of the offers to a node. */
    public static String offers(String node) {
        return OFFERS_PREFIX + node + OFFERS_SUFFIX;
    }

    /** Returns the node of an offers destination, or null for any other destination. */
    public static String nodeOfOffers(String destination) {
        boolean isOffersDestination =
                destination.startsWith(OFFERS_PREFIX)
                        && destination.endsWith(OFFERS_SUFFIX)
                        && destination.length() > OFFERS_PREFIX.length() + OFFERS_SUFFIX.length();
        return isOffersDestination
                ? destination.substring(
                        OFFERS_PREFIX.length(), destination.length() - OFFERS_SUFFIX.length())
                : null;
    }
}
