package thornferry.testbed.audit;

/**
 * What a node reports of an attempt.
 *
 * @param attemptId the attempt
 * @param kind what happened
 * @param hasRun whether a withdrawn attempt had started
 */
record AttemptReport(String attemptId, Kind kind, boolean hasRun) {
    enum Kind {
        ACCEPTED,
        REJECTED,
        RUNNING,
        /** It ended by itself, was evicted, or was sent away by a drain. */
        ENDED,
        WITHDRAWN,
        /** Of no concern to the rules, such as the use of resources. */
        OTHER
    }
}
