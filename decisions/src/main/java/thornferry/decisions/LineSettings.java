package thornferry.decisions;

import java.util.Map;
import java.util.Set;

/**
 * What the waiting line goes by. All of it may change at a reload. Times are microseconds.
 *
 * @param on whether there is a line at all; without one every task is asked for at once and no
 *     reasons are kept
 * @param length tasks that may wait; beyond, the one that comes last in order is refused
 * @param window tasks that the module may hold, without an offer out, at once; the rest wait in
 *     line
 * @param takeBack a task that the module holds for so long, while others wait, goes back into the
 *     line
 * @param lookAgain it is asked for again after so long, or when room comes; doubles up to 16 times
 *     that
 * @param target overload begins where for a whole {@code interval} every task asked for had waited
 *     longer than this part of its patience
 * @param interval see {@code target}; also the time between the first two tasks that overload sheds
 * @param oldestTurn every so-manieth task asked for is the one that waits longest, whatever its
 *     worth and tenant
 * @param large a task of this part of the largest machine, in cores or memory, is a large one; 1 or
 *     more for none
 * @param gatherAfter a large task that waits so long for room has smaller ones of less worth held
 *     back for it
 * @param gatherFor for so long at the most; and then not again for three times that
 * @param retryShare asks again that an owner, or a machine, may cause for each first one
 * @param retryPerSecond asks again that are always borne
 * @param retryLeast least retry-after of a task refused early, {@code retryMost} the most
 * @param owner what each owner may, where {@code owners} does not say
 * @param tenant what each tenant may, where {@code tenants} does not say
 * @param all what all may together
 * @param shares weights of the tenants; 1 where not told
 * @param refuse classes whose tasks are refused where a limit is reached; others wait
 */
public record LineSettings(
        boolean on,
        int length,
        int window,
        long takeBack,
        long lookAgain,
        double target,
        long interval,
        int oldestTurn,
        double large,
        long gatherAfter,
        long gatherFor,
        double retryShare,
        double retryPerSecond,
        long retryLeast,
        long retryMost,
        Limit owner,
        Limit tenant,
        Limit all,
        Map<String, Limit> owners,
        Map<String, Limit> tenants,
        Map<String, Double> shares,
        Set<String> refuse) {
    /**
     * @param waiting tasks in the line; beyond, a new one is refused
     * @param tasks tasks asked for or placed at once; infinite for no limit, as below
     * @param perSecond tasks asked for a second
     * @param burst so many at once after a pause
     * @param cores of tasks asked for or placed at once
     * @param memory likewise
     */
    public record Limit(
            double waiting,
            double tasks,
            double perSecond,
            double burst,
            double cores,
            double memory) {
        public static final Limit NONE =
                new Limit(
                        Double.POSITIVE_INFINITY,
                        Double.POSITIVE_INFINITY,
                        Double.POSITIVE_INFINITY,
                        Double.POSITIVE_INFINITY,
                        Double.POSITIVE_INFINITY,
                        Double.POSITIVE_INFINITY);

        public Limit {
            if (!(waiting >= 0)
                    || !(tasks > 0)
                    || !(perSecond > 0)
                    || !(burst >= 1)
                    || !(cores > 0)
                    || !(memory > 0)) {
                throw new IllegalArgumentException("a limit must be above 0, burst not under 1");
            }
        }
    }

    public LineSettings {
        if (length < 1
                || window < 1
                || takeBack <= 0
                || lookAgain <= 0
                || !(target > 0)
                || interval <= 0
                || oldestTurn < 2
                || !(large > 0)
                || gatherAfter <= 0
                || gatherFor < 0
                || !(retryShare >= 0)
                || !(retryPerSecond >= 0)
                || retryLeast <= 0
                || retryMost < retryLeast) {
            throw new IllegalArgumentException("the line's settings are out of range");
        }
        shares.forEach(
                (name, share) -> {
                    if (!(share > 0)) {
                        throw new IllegalArgumentException(
                                "the share of tenant " + name + " must be above 0");
                    }
                });
        owners = Map.copyOf(owners);
        tenants = Map.copyOf(tenants);
        shares = Map.copyOf(shares);
        refuse = Set.copyOf(refuse);
    }

    /** A line that limits nothing but its own length. */
    public static LineSettings usual() {
        return new LineSettings(
                true,
                100_000,
                64,
                60_000,
                250_000,
                0.3,
                1_000_000,
                8,
                0.3,
                1_000_000,
                1_000_000,
                0.5,
                10,
                500_000,
                30_000_000,
                Limit.NONE,
                Limit.NONE,
                Limit.NONE,
                Map.of(),
                Map.of(),
                Map.of(),
                Set.of());
    }

    /**
     * The same with other limits for all owners, for one, or for all together; null keeps what is.
     */
    public LineSettings with(
            Limit eachOwner, Limit eachTenant, Limit together, Map<String, Double> weights) {
        return new LineSettings(
                on,
                length,
                window,
                takeBack,
                lookAgain,
                target,
                interval,
                oldestTurn,
                large,
                gatherAfter,
                gatherFor,
                retryShare,
                retryPerSecond,
                retryLeast,
                retryMost,
                eachOwner == null ? owner : eachOwner,
                eachTenant == null ? tenant : eachTenant,
                together == null ? all : together,
                owners,
                tenants,
                weights == null ? shares : weights,
                refuse);
    }

    /** The same without a line. */
    public LineSettings off() {
        return new LineSettings(
                false,
                length,
                window,
                takeBack,
                lookAgain,
                target,
                interval,
                oldestTurn,
                large,
                gatherAfter,
                gatherFor,
                retryShare,
                retryPerSecond,
                retryLeast,
                retryMost,
                owner,
                tenant,
                all,
                owners,
                tenants,
                shares,
                refuse);
    }

    /** The same without room being kept for large tasks. */
    public LineSettings withoutGathering() {
        return new LineSettings(
                on,
                length,
                window,
                takeBack,
                lookAgain,
                target,
                interval,
                oldestTurn,
                large,
                gatherAfter,
                0,
                retryShare,
                retryPerSecond,
                retryLeast,
                retryMost,
                owner,
                tenant,
                all,
                owners,
                tenants,
                shares,
                refuse);
    }

    Limit ofOwner(String name) {
        return owners.getOrDefault(name, owner);
    }

    Limit ofTenant(String name) {
        return tenants.getOrDefault(name, tenant);
    }

    double share(String name) {
        return shares.getOrDefault(name, 1.0);
    }
}
