package thornferry.decisions.admission;

/**
 * The names of quotas in {@link QuotaBlock#quotaName()}. Clients receive these names in rejection
 * sentences and in the evidence of pending reasons, so their text is part of the wire format.
 */
public final class QuotaNames {
    static final String TASKS = "tasks";
    static final String CORES = "cores";
    static final String MEMORY = "memory";
    static final String TASK_RATE = "tasks a second";

    /** The retry budget. */
    public static final String RETRIES = "asks again";

    private QuotaNames() {}
}
