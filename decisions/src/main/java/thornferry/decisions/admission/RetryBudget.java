package thornferry.decisions.admission;

import java.util.function.Supplier;

/**
 * Limits the retries of each owner in proportion to its new requests, and those of each machine in
 * proportion to its first attempts, so that neither an owner that retries endlessly nor a machine
 * that rejects every offer causes a retry storm.
 */
final class RetryBudget {
    /** Minimum number of retries that a full budget allows at once. */
    private static final double MIN_BURST = 5;

    /**
     * A full budget holds the retries of this many seconds at the retry rate, but at least {@link
     * #MIN_BURST}.
     */
    private static final double BURST_SECONDS = 2;

    private final Supplier<AdmissionSettings> settings;
    private final TokenBuckets tokens = new TokenBuckets(0, 1);

    RetryBudget(Supplier<AdmissionSettings> settings) {
        this.settings = settings;
        applySettings();
    }

    /** Applies the retry rate of the current settings. */
    void applySettings() {
        double perSecond = settings.get().retryPerSecond();
        tokens.configure(perSecond, Math.max(MIN_BURST, BURST_SECONDS * perSecond));
    }

    /** Adds {@link AdmissionSettings#retryRatio} tokens to the owner's budget for a new request. */
    void recordNewRequest(long nowMicros, QueuedRequest request) {
        tokens.add(nowMicros, ownerKey(request.owner()), settings.get().retryRatio());
    }

    /**
     * Records the start of an attempt on a machine: takes a token from the machine's budget for a
     * retry, and adds {@link AdmissionSettings#retryRatio} tokens for any other attempt.
     */
    void recordAttemptStart(long nowMicros, String machine, boolean isRetry) {
        if (isRetry) {
            tokens.take(nowMicros, machineKey(machine));
        } else {
            tokens.add(nowMicros, machineKey(machine), settings.get().retryRatio());
        }
    }

    /**
     * Takes a token from the owner's budget and returns true if the owner's budget and that of the
     * machine that rejected the task each hold one. A token is taken from a machine's budget only
     * when an attempt starts there.
     */
    boolean tryTake(long nowMicros, QueuedRequest request) {
        boolean machineHasToken =
                request.rejectedBy().isEmpty()
                        || tokens.hasToken(nowMicros, machineKey(request.rejectedBy()));
        String owner = ownerKey(request.owner());
        if (!machineHasToken || !tokens.hasToken(nowMicros, owner)) {
            return false;
        }
        tokens.take(nowMicros, owner);
        return true;
    }

    /** Returns the time at which both budgets allow a retry if no new request arrives. */
    long nextRetryAtMicros(long nowMicros, QueuedRequest request) {
        long ownerAtMicros = tokens.nextTokenAtMicros(nowMicros, ownerKey(request.owner()));
        if (request.rejectedBy().isEmpty()) {
            return ownerAtMicros;
        }
        String machine = machineKey(request.rejectedBy());
        return Math.max(ownerAtMicros, tokens.nextTokenAtMicros(nowMicros, machine));
    }

    private static String ownerKey(String owner) {
        return "o" + owner;
    }

    private static String machineKey(String machine) {
        return "m" + machine;
    }
}
