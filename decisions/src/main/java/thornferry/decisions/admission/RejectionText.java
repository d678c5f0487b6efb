package thornferry.decisions.admission;

/**
 * The sentences that tell a client why its request was rejected. Clients may match these sentences,
 * so their text is part of the wire format.
 */
final class RejectionText {
    static final String TENANT_OR_SITE_QUOTA_TOO_SMALL =
            "it asks for more than your tenant or the site may have at all";
    static final String NO_TIME_LEFT = "no time was left to place it";
    static final String NO_CAPACITY_IN_TIME = "no room came before its patience ended";
    static final String LOWER_PRIORITY_SHED =
            "the placer is overloaded: tasks of more worth come first";
    static final String WAIT_TOO_LONG = "the placer is overloaded: its turn would not come in time";

    private static final double MICROS_PER_TENTH_SECOND = 1e5;

    private RejectionText() {}

    static String ownerQuotaTooSmall(Quota quota) {
        return "it asks for more than your limit of "
                + Amounts.format(quota.maxCores())
                + " cores and "
                + Amounts.format(quota.maxMemory())
                + " memory";
    }

    static String tooManyWaitingOfOwner(Quota quota) {
        return "your limit of waiting tasks: " + Amounts.format(quota.maxWaiting());
    }

    static String tooManyWaitingOfTenant(Quota quota) {
        return "your tenant's limit of waiting tasks: " + Amounts.format(quota.maxWaiting());
    }

    static String queueFull(int maxQueued) {
        return "the line is full: " + maxQueued + " tasks wait";
    }

    static String estimatedWaitTooLong(double waitMicros) {
        double seconds = Math.rint(waitMicros / MICROS_PER_TENTH_SECOND) / 10;
        return "the placer is overloaded: about "
                + Amounts.format(seconds)
                + " s would pass before its turn";
    }

    static String classDoesNotWait(QuotaBlock block, String taskClass) {
        return quotaReached(block) + ", and tasks of class " + taskClass + " do not wait for it";
    }

    /** Returns a sentence for the owner of the request that names the reached quota. */
    static String quotaReached(QuotaBlock block) {
        String limitOfScope =
                switch (block.scope()) {
                    case OWNER -> "your limit of ";
                    case TENANT -> "your tenant's limit of ";
                    case SITE -> "the site's limit of ";
                };
        String limitedAmount =
                block.quotaName().equals(QuotaNames.RETRIES)
                        ? QuotaNames.RETRIES
                        : Amounts.format(block.limit()) + " " + block.quotaName();
        return limitOfScope + limitedAmount + " is reached";
    }
}
