package thornferry.testbed.audit;

/** What a capture is checked for. */
enum Rule {
    /** The capture itself can be read. */
    READABLE(0),
    /** Every request has exactly one result, in time. */
    ONE_RESULT_IN_TIME(1),
    /** No task has its effect twice. */
    AT_MOST_ONCE(2),
    /** A draining node gets no offers. */
    DRAIN(3),
    /** A node that warms up gets few offers. */
    SLOW_START(4),
    /** The tasks of a service are spread over groups of nodes. */
    SPREAD(5);

    private final int number;

    Rule(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
