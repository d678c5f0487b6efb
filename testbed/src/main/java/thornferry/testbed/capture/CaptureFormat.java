package thornferry.testbed.capture;

/**
 * The JSON keys and values of a capture file. Each line is one object with the time of the event
 * and the kind of the row; the other keys depend on the kind. The names are part of the file format
 * and never change.
 */
public final class CaptureFormat {
    /** Microseconds since the capture began. */
    public static final String TIME = "t";

    public static final String ROW_KIND = "k";
    public static final String SITE_ROW = "site";
    public static final String OPEN_ROW = "open";
    public static final String CLOSE_ROW = "close";
    public static final String FRAME_ROW = "frame";
    public static final String MARK_ROW = "mark";

    public static final String CONNECTION = "link";
    public static final String PLACER = "placer";

    // frames
    public static final String DIRECTION = "dir";
    public static final String COMMAND = "cmd";
    public static final String HEADERS = "h";
    public static final String BODY = "b";

    // marks
    public static final String MARK_NAME = "what";
    public static final String MARK_UNTIL = "until";
    public static final String PLACER_KILLED = "placer-killed";
    public static final String PLACER_PAUSED = "placer-paused";
    public static final String SLOW_READER = "slow-reader";

    // the site
    public static final String RESULTS_SURVIVE_KILL = "lasting";
    public static final String RULES = "rules";
    public static final String ANSWER_GRACE = "answerGrace";
    public static final String DRAIN_GRACE = "drainGrace";
    public static final String SLOW_START = "ramp";
    public static final String SLOW_START_INITIAL_SHARE = "coldFrom";
    public static final String SLOW_START_MULTIPLE = "coldMultiple";
    public static final String SLOW_START_WINDOW = "coldWindow";
    public static final String SLOW_START_OFFERS = "coldOffers";
    public static final String MAX_WAIT = "mostPatience";
    public static final String STARTS_PER_SECOND = "startsPerSecond";

    // the site's task classes
    public static final String TASK_CLASSES = "classes";
    public static final String CLASS_NAME = "name";
    public static final String CLASS_IDEMPOTENCY = "effect";
    public static final String CLASS_KEY_SCOPE = "keyScope";
    public static final String CLASS_KEY_WINDOW = "keyWindow";
    public static final String CLASS_DEADLINE = "deadline";
    public static final String CLASS_SPREAD_SCOPE = "spread";
    public static final String CLASS_MAX_TASKS_PER_SCOPE = "spreadMost";

    // idempotency of a task class
    public static final String IDEMPOTENT = "SAFE";
    public static final String IDEMPOTENT_WITH_KEY = "KEYED";
    public static final String NON_IDEMPOTENT = "UNSAFE";

    // scopes of a task class; any other is a single machine
    public static final String SCOPE_NONE = "NONE";
    public static final String SCOPE_CELL = "CELL";
    public static final String SCOPE_ZONE = "ZONE";
    public static final String SCOPE_ALL = "ALL";

    private CaptureFormat() {}
}
