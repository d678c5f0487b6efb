package thornferry.decisions.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import thornferry.decisions.admission.AdmissionQueue.Stage;
import thornferry.decisions.membership.ClusterView;

/**
 * Reserves capacity that becomes free for a large task that has waited long: small tasks of lower
 * priority weight are held back for a bounded time, except those short enough to end before it
 * (backfill).
 */
final class CapacityReservation {
    /** After a reservation none begins for so many times its length. */
    private static final int PAUSE_FACTOR = 3;

    private record Reservation(QueueEntry beneficiary, long untilMicros) {}

    private final Supplier<AdmissionSettings> settings;
    private final ClusterView cluster;
    private final DispatchWindow window;
    private final BackoffQueue backoff;
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

    /** Whether an entry is held back now in favour of a larger one. */
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
        boolean backfills =
                request.expectedRunMicros() > 0
                        && nowMicros + request.expectedRunMicros() <= reservation.untilMicros();
        return !backfills && !isLarge(entry);
    }

    /** Ends a reservation that has expired or served its purpose, and begins one where needed. */
    void tick(long nowMicros) {
        if (current.isPresent() && hasEnded(nowMicros, current.get())) {
            current = Optional.empty();
        }
        if (current.isPresent() || nowMicros < nextAllowedAtMicros || !isEnabled()) {
            return;
        }
        long durationMicros = settings.get().reserveForMicros();
        beneficiary(nowMicros)
                .ifPresent(
                        entry -> {
                            long untilMicros = nowMicros + durationMicros;
                            current = Optional.of(new Reservation(entry, untilMicros));
                            nextAllowedAtMicros = untilMicros + PAUSE_FACTOR * durationMicros;
                        });
    }

    /** An entry leaves: a reservation for it ends. */
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

    /** The first by priority of the large tasks that have waited long for capacity. */
    private Optional<QueueEntry> beneficiary(long nowMicros) {
        List<QueueEntry> candidates = new ArrayList<>(window.entries());
        candidates.addAll(backoff.first());
        return candidates.stream()
                .filter(entry -> waitsLongForCapacity(nowMicros, entry))
                .min(QueueEntry.BY_PRIORITY);
    }

    private boolean waitsLongForCapacity(long nowMicros, QueueEntry entry) {
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
