package thornferry.decisions.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import thornferry.decisions.admission.AdmissionQueue.Stage;
import thornferry.decisions.membership.ClusterView;

/**
 * Reserves capacity that becomes free for a large task that has waited long. During a reservation,
 * which has a maximum length, tasks of lower priority weight that are not large are held back,
 * except those that are expected to end before the reservation does (backfill).
 */
final class CapacityReservation {
    /**
     * Time after a reservation during which none begins, as a multiple of the reservation's length.
     */
    private static final int PAUSE_FACTOR = 3;

    private record Reservation(QueueEntry beneficiary, long untilMicros) {}

    private final Supplier<AdmissionSettings> settings;
    private final ClusterView cluster;
    private final DispatchWindow window;
    private final BackoffQueue backoff;

    /** The reservation in force; empty if there is none. */
    private Optional<Reservation> current = Optional.empty();

    private long nextAllowedAtMicros = Long.MIN_VALUE;

    CapacityReservation(
            Supplier<AdmissionSettings> settings,
            ClusterView cluster,
            DispatchWindow window,
            BackoffQueue backoff) {
        this.settings = settings;
        this.cluster = cluster;
        this.window = window;
        this.backoff = backoff;
    }

    /** Returns whether an entry is held back now in favour of a larger one. */
    boolean holdsBack(long nowMicros, QueueEntry entry) {
        return current.isPresent() && holdsBack(nowMicros, entry, current.get());
    }

    private boolean holdsBack(long nowMicros, QueueEntry entry, Reservation reservation) {
        QueuedRequest request = entry.request();
        if (nowMicros >= reservation.untilMicros()
                || entry == reservation.beneficiary()
                || request.priorityWeight()
                        >= reservation.beneficiary().request().priorityWeight()) {
            return false;
        }
        boolean canBackfill =
                request.expectedRunMicros() > 0
                        && nowMicros + request.expectedRunMicros() <= reservation.untilMicros();
        return !canBackfill && !isLarge(entry);
    }

    /**
     * Ends a reservation that has expired or whose task has been offered or placed, and begins a
     * new one if a large task needs it.
     */
    void tick(long nowMicros) {
        if (current.isPresent() && hasEnded(nowMicros, current.get())) {
            current = Optional.empty();
        }
        if (current.isPresent() || nowMicros < nextAllowedAtMicros || !isEnabled()) {
            return;
        }
        long durationMicros = settings.get().reserveForMicros();
        findBeneficiary(nowMicros)
                .ifPresent(
                        entry -> {
                            long untilMicros = nowMicros + durationMicros;
                            current = Optional.of(new Reservation(entry, untilMicros));
                            nextAllowedAtMicros = untilMicros + PAUSE_FACTOR * durationMicros;
                        });
    }

    /** Ends the reservation for an entry that leaves the queue. */
    void remove(QueueEntry entry) {
        if (current.isPresent() && current.get().beneficiary() == entry) {
            current = Optional.empty();
        }
    }

    private static boolean hasEnded(long nowMicros, Reservation reservation) {
        Stage stage = reservation.beneficiary().stage();
        return nowMicros >= reservation.untilMicros()
                || stage == Stage.PLACED
                || stage == Stage.OFFERED;
    }

    private boolean isEnabled() {
        return settings.get().reserveForMicros() > 0 && settings.get().largeTaskFraction() < 1;
    }

    /** Returns the first by priority of the large tasks that have waited long for capacity. */
    private Optional<QueueEntry> findBeneficiary(long nowMicros) {
        List<QueueEntry> candidates = new ArrayList<>(window.entries());
        candidates.addAll(backoff.firstByPriority());
        return candidates.stream()
                .filter(entry -> hasWaitedLongForCapacity(nowMicros, entry))
                .min(QueueEntry.BY_PRIORITY);
    }

    private boolean hasWaitedLongForCapacity(long nowMicros, QueueEntry entry) {
        return nowMicros - entry.arrivedAtMicros() >= settings.get().reserveAfterMicros()
                && !entry.exceedsRetryBudget()
                && isLarge(entry);
    }

    private boolean isLarge(QueueEntry entry) {
        return cluster.isLarge(
                entry.request().cores(),
                entry.request().memory(),
                settings.get().largeTaskFraction());
    }
}
