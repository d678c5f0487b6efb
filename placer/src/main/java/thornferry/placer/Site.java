package thornferry.placer;

import java.nio.file.Path;
import java.util.List;
import thornferry.decisions.admission.AdmissionSettings;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.requests.RequestTracker;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Heartbeat;
import thornferry.security.Tls;
import thornferry.state.Durability;

/**
 * Everything that a placer is configured with. Checked when it is read; see the configuration in
 * app.
 *
 * @param name of the placer; instance i of it is called NAME-i
 * @param placement settings of the placement module; seed and number are set for each instance
 * @param seed from which the instances' seeds are drawn
 * @param handshakeMs a peer that has not sent CONNECT after so long is cut off
 * @param admission limits and order of what waits
 * @param tls certificate, key and authorities; null for plain text
 * @param connections open at once, for each instance; more are closed as they come
 * @param state what is kept over restarts
 */
public record Site(
        String name,
        Placement.Settings placement,
        long seed,
        List<Account> accounts,
        Membership.Limits membershipLimits,
        RequestTracker.Limits requestLimits,
        AdmissionSettings admission,
        TlsFiles tls,
        FrameLimits frames,
        Heartbeat heartbeat,
        int handshakeMs,
        int connections,
        State state) {
    /**
     * What lasts over restarts, and where: a folder for each instance below {@code folder}, of no
     * use with none.
     */
    public record State(Durability durability, Path folder) {
        public static final State NONE = new State(Durability.NONE, Path.of("state"));
    }

    /** Where a placer's certificate, its key and the authorities of its peers' certificates are. */
    public record TlsFiles(Tls.Pem files, Tls.Clients clients) {}

    /** The module's settings for one instance. */
    Placement.Settings placementOf(int instance) {
        return settings(seed * 1_000_003 + instance, instance, placement.instanceCount());
    }

    /**
     * The same site as one of {@code placers} placers has it: under its own name, seed and number,
     * for more accounts.
     */
    public Site asPlacer(String name, int number, int placers, long seed, List<Account> accounts) {
        return new Site(
                name,
                settings(placement.seed(), number, placers),
                seed,
                accounts,
                membershipLimits,
                requestLimits,
                admission,
                tls,
                frames,
                heartbeat,
                handshakeMs,
                connections,
                state);
    }

    /** The same with other limits and order of what waits. */
    public Site withLine(AdmissionSettings other) {
        return new Site(
                name,
                placement,
                seed,
                accounts,
                membershipLimits,
                requestLimits,
                other,
                tls,
                frames,
                heartbeat,
                handshakeMs,
                connections,
                state);
    }

    /** The same with neither line nor reasons, for measuring what they cost and bring. */
    public Site withoutLine() {
        return withLine(admission.disabled());
    }

    /** The same over TLS. */
    public Site withTls(TlsFiles files) {
        return new Site(
                name,
                placement,
                seed,
                accounts,
                membershipLimits,
                requestLimits,
                admission,
                files,
                frames,
                heartbeat,
                handshakeMs,
                connections,
                state);
    }

    /** The same with other means to outlast restarts. */
    public Site withState(State other) {
        return new Site(
                name,
                placement,
                seed,
                accounts,
                membershipLimits,
                requestLimits,
                admission,
                tls,
                frames,
                heartbeat,
                handshakeMs,
                connections,
                other);
    }

    private Placement.Settings settings(long moduleSeed, int number, int placers) {
        Placement.Settings s = placement;
        return new Placement.Settings(
                moduleSeed,
                number,
                placers,
                s.zone(),
                s.classes(),
                s.machineKinds(),
                s.tenants(),
                s.loadReportMode(),
                s.reportsMeasureUsage(),
                s.listShowsFreeCapacity(),
                s.listNeedsSubscription(),
                s.acceptedWhenRunning(),
                s.observesTasks(),
                s.preempts(),
                s.singlePreferredMachine(),
                s.coresOvercommit(),
                s.memoryOvercommit(),
                s.meanTaskCores(),
                s.meanTaskMemory(),
                s.overQuotaWeight(),
                s.clientRetryMicros(),
                s.costWeights(),
                s.rules(),
                s.limits());
    }
}
