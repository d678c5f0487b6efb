package thornferry.decisions.admission;

import java.util.function.Supplier;

/**
 * Bounds retries in proportion to new requests, by owner and by machine, so that neither an owner
 * that retries without end nor a machine that rejects everything causes a wave of retries.
 */
final class RetryBudget {
    private static final double MIN_BURST = 5;
    private static final double BURST_SECONDS = 2;

    private final Supplier<AdmissionSettings> settings;
    private final TokenBuckets tokens = new TokenBuckets(0, 1);

    RetryBudget(Supplier<AdmissionSettings> settings) {
        this.settings = settings;
        settingsChanged();
    }

    /** Applies the current settings' retry rate. */
    void settingsChanged() {
        double perSecond = settings.get().retryPerSecond();
        tokens.configure(perSecond, Math.max(MIN_BURST, BURST_SECONDS * perSecond));
    }

    /** A new request earns its owner a part of a retry. */
    void newRequestArrived(long nowMicros, QueuedRequest request) {
        tokens.add(nowMicros, ownerKey(request.owner()), settings.get().retryRatio());
    }

    /** An attempt starts on a machine: a retry costs the machine a token, another earns a part. */
    void attemptStarted(long nowMicros, String machine, boolean isRetry) {
        if (isRetry) {
            tokens.take(nowMicros, machineKey(machine));
        } else {
            tokens.add(nowMicros, machineKey(machine), settings.get().retryRatio());
        }
    }

    /**
     * Takes a retry from the owner's budget if it and that of the machine that rejected the task
     * allow one. The machine's token is taken when an attempt starts there.
     */
    boolean tryTake(long nowMicros, QueuedRequest request) {
        boolean machineAllows =
                request.rejectedBy().isEmpty()
                        || tokens.hasToken(nowMicros, machineKey(request.rejectedBy()));
        String owner = ownerKey(request.owner());
        if (!machineAllows || !tokens.hasToken(nowMicros, owner)) {
            return false;
        }
        tokens.take(nowMicros, owner);
        return true;
    }

    /** When both budgets allow a retry if no new request arrives. */
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
