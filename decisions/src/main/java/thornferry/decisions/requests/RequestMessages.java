package thornferry.decisions.requests;

import thornferry.decisions.placement.Placement.OutcomeReason;

/**
 * The sentences that clients receive as reasons of results and as error messages. They must not be
 * changed, as clients may match them.
 */
final class RequestMessages {
    // ---- reasons of results ----
    static final String MAY_HAVE_RUN = "it may have run in a former life of the placer";
    static final String MAY_HAVE_RUN_MACHINE_ABSENT =
            MAY_HAVE_RUN + ", and its node has not come back";
    static final String JUST_STARTED =
            "the placer has just started and cannot tell yet whether it ran before";
    static final String NO_ANSWER_IN_TIME = "no answer in time";
    static final String NO_CAPACITY = "no node had room while you waited";
    static final String RAN_ALREADY = "it ran already";
    static final String RESULT_DROPPED = "it was known before and its result is no longer kept";
    static final String STOPPED_BY_OWNER = "stopped by its owner";

    // ---- messages of InvalidRequestException ----
    static final String INVALID_ID = "id must have 1 to 128 characters";
    static final String INVALID_RESOURCES = "cores and memory must be numbers above 0";
    static final String INVALID_SERVICE_OR_KEY =
            "service must have 1 to 128 characters, key at most 128";
    static final String INVALID_DURATION = "patienceMs and runsForMs must not be below 0";

    private RequestMessages() {}

    static String tooManyPending(int maxPending) {
        return "the placer has as many tasks in hand as it may: " + maxPending;
    }

    static String mayHaveRunForgottenBy(String machine) {
        return MAY_HAVE_RUN + ", and node " + machine + " does not remember";
    }

    static String rejectedLastBy(String machine, OutcomeReason reason) {
        String explanation =
                switch (reason) {
                    case INSUFFICIENT_CORES -> "not enough cores";
                    case INSUFFICIENT_MEMORY -> "not enough memory";
                    case QUEUE_FULL -> "too many offers wait there";
                    case UNAVAILABLE -> "not here: draining, or a copy of the key stands";
                    default -> "no reason given";
                };
        return "node " + machine + " refused last: " + explanation;
    }

    static String missingTaskClass(String knownClasses) {
        return "taskClass is missing; known: " + knownClasses;
    }

    static String unknownTaskClass(String taskClass, String knownClasses) {
        return "taskClass " + taskClass + " is not known; known: " + knownClasses;
    }

    static String missingKey(String taskClass) {
        return "a task of class " + taskClass + " needs a key";
    }

    static String taskSpecDiffers(String task) {
        return "task " + task + " is known with another shape";
    }

    static String noTaskToStop(String task) {
        return "no task " + task + " of yours is in hand or placed";
    }
}
