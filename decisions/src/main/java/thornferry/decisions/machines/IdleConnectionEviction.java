package thornferry.decisions.machines;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Selects the idle connection to close when a connection to another machine is needed and the limit
 * for all machines is reached. A machine with running tasks reports their end on an open connection
 * or on the next one that is opened, so such machines have precedence; if there are more of them
 * than connections, they take turns.
 *
 * <p>This class performs no I/O and reads no clock; all times are microseconds.
 */
public final class IdleConnectionEviction {
    /** What a new connection is needed for, in ascending precedence. */
    public enum Purpose {
        /** A health check. It only takes the place of a spare connection. */
        HEALTH_CHECK,
        /**
         * An offer. It may also take the place of the only connection of a machine without tasks.
         */
        OFFER,
        /**
         * Messages about running tasks, in either direction. They may also take the place of the
         * only connection of another machine with tasks, after that had its turn.
         */
        RUNNING_TASKS
    }

    /**
     * A machine with an idle connection.
     *
     * @param machine the machine's id
     * @param idleSinceMicros since when its longest idle connection is idle
     * @param isOnlyConnection whether the machine has no other usable connection
     * @param hasTasks whether tasks run on the machine, or have to be stopped there
     */
    public record Candidate(
            String machine, long idleSinceMicros, boolean isOnlyConnection, boolean hasTasks) {
        private Purpose minPurpose() {
            if (!isOnlyConnection) {
                return Purpose.HEALTH_CHECK;
            }
            return hasTasks ? Purpose.RUNNING_TASKS : Purpose.OFFER;
        }
    }

    /**
     * How long the only connection of a machine with tasks stays open before another machine with
     * tasks takes its place.
     */
    private static final long MIN_TURN_MICROS = 2_000_000;

    private static final Comparator<Candidate> EVICTED_FIRST =
            Comparator.comparing(Candidate::minPurpose)
                    .thenComparingLong(Candidate::idleSinceMicros);

    private IdleConnectionEviction() {}

    /**
     * Returns the machine whose longest idle connection is closed, or empty if the new connection
     * may not take the place of any.
     */
    public static Optional<Candidate> selectVictim(
            Collection<Candidate> candidates, Purpose purpose, long nowMicros) {
        return candidates.stream()
                .filter(candidate -> candidate.minPurpose().compareTo(purpose) <= 0)
                .filter(candidate -> hasHadTurn(candidate, nowMicros))
                .min(EVICTED_FIRST);
    }

    private static boolean hasHadTurn(Candidate candidate, long nowMicros) {
        return candidate.minPurpose() != Purpose.RUNNING_TASKS
                || nowMicros - candidate.idleSinceMicros() >= MIN_TURN_MICROS;
    }
}
