package thornferry.decisions.diagnosis;

/**
 * Descriptions of evidence. The texts are part of the wire protocol, because clients match on them.
 */
final class EvidenceText {
    // Machines that could never take the task.
    static final String MACHINE_TOO_SMALL = "too small for it";
    static final String WRONG_KIND = "of another kind than it needs";

    // Machines that lack free capacity.
    static final String NOT_ENOUGH_CORES = "not enough cores";
    static final String NOT_ENOUGH_MEMORY = "not enough memory";
    static final String CLOSEST_LACKS_CORES = "closest, lacks cores";
    static final String CLOSEST_LACKS_MEMORY = "closest, lacks memory";
    static final String MAY_HAVE_CAPACITY = "nodes that may have room";

    // Machines that rejected offers.
    static final String REJECTED_FOR_CORES = "refused: not enough cores";
    static final String REJECTED_FOR_MEMORY = "refused: not enough memory";
    static final String REJECTED_SIMILAR = "refused as much or less";
    static final String REJECTED_QUEUE_FULL = "refused: too many offers wait there";

    // The previous attempt.
    static final String ATTEMPT_UNANSWERED = "left the last offer unanswered, or broke off";
    static final String KEY_HELD = "key held";
    static final String KEY_HELD_BY_OWN_TASK = "key held by a task of yours";
    static final String REJECTED_DRAINING = "refused: it drains";
    static final String REJECTED_LAST_OFFER =
            "refused the last offer and gets it no second time in a row";

    // Machines that are excluded at present.
    static final String MACHINE_EJECTED = "silent or out of reach";
    static final String CLASS_EJECTED = "leaves its class unanswered";
    static final String OUTSIDE_KEY_SCOPE =
            "not of the group where an earlier attempt may have run";
    static final String SPREAD_LIMIT = "as many of its service as may be";
    static final String WARMING_UP = "just started and given all the starts it bears";
    static final String DRAINING = "drains";
    static final String DISCONNECTED = "without a connection";

    // The admission queue.
    static final String TASKS_WAITING = "tasks wait";
    static final String ABOVE_FAIR_SHARE = "tenant above its share";
    static final String TASKS_AHEAD = "tasks of your tenant before it";

    /** Followed by the name of the quota. */
    static final String QUOTA_PREFIX = "limit of ";

    // Attempts whose result is not known.
    static final String OFFERED_TO = "offered to";
    static final String OFFERED_AND_DISCONNECTED = "it was offered there and the connection broke";
    static final String MAY_HAVE_RUN_BEFORE_RESTART =
            "it may have run there before the placer was started anew";
    static final String PLACER_JUST_STARTED = "the placer has just started";

    private EvidenceText() {}
}
