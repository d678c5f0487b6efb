package thornferry.testbed.capture;

/**
 * The JSON keys and values of a capture file. Each line is one object, which contains the time of
 * the event and the kind of the row; the other keys depend on the kind. The keys and values are
 * part of the file format and must not change.
 */
public final class CaptureFormat {
    /** Key of the time since the start of the capture, in microseconds. */
    public static final String TIME = "t";

    public static final String ROW_KIND = "k";
    public static final String SITE_ROW = "site";
    public static final String OPEN_ROW = "open";
    public static final String CLOSE_ROW = "close";
    public static final String FRAME_ROW = "frame";
    public static final String MARK_ROW = "mark";

    public static final String CONNECTION = "link";
    public static final String PLACER = "placer";

    // keys of a frame row
    public static final String DIRECTION = "dir";
    public static final String COMMAND = "cmd";
    public static final String HEADERS = "h";
    public static final String BODY = "b";

    // keys of a mark row and names of marks
    public static final String MARK_NAME = "what";
    public static final String MARK_UNTIL = "until";
    public static final String PLACER_KILLED = "placer-killed";
    public static final String PLACER_PAUSED = "placer-paused";
    public static final String SLOW_READER = "slow-reader";

    // keys of the site row and of its rules
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

    // keys of the task classes in the site row
    public static final String TASK_CLASSES = "classes";
    public static final String CLASS_NAME = "name";
    public static final String CLASS_IDEMPOTENCY = "effect";
    public static final String CLASS_KEY_SCOPE = "keyScope";
    public static final String CLASS_KEY_WINDOW = "keyWindow";
    public static final String CLASS_DEADLINE = "deadline";
    public static final String CLASS_SPREAD_SCOPE = "spread";
    public static final String CLASS_MAX_TASKS_PER_SCOPE = "spreadMost";

    // values of CLASS_IDEMPOTENCY
    public static final String IDEMPOTENT = "SAFE";
    public static final String IDEMPOTENT_WITH_KEY = "KEYED";
    public static final String NON_IDEMPOTENT = "UNSAFE";

    // values of CLASS_KEY_SCOPE and CLASS_SPREAD_SCOPE; any other value means a single machine
    public static final String SCOPE_NONE = "NONE";
    public static final String SCOPE_CELL = "CELL";
    public static final String SCOPE_ZONE = "ZONE";
    public static final String SCOPE_ALL = "ALL";

    private CaptureFormat() {}
}
