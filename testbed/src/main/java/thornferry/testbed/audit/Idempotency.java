package thornferry.testbed.audit;

/** Whether a task may run more than once. */
enum Idempotency {
    /** It may, anywhere. */
    IDEMPOTENT,
    /** It may within the nodes that share idempotency keys. */
    IDEMPOTENT_WITH_KEY,
    /** It must not. */
    NON_IDEMPOTENT,
    /** The capture names none of the others; no retry is excused and none is forbidden. */
    UNKNOWN
}
