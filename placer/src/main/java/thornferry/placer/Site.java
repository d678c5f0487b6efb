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
 * The configuration of a placer. Module {@code config} validates it when reading the file.
 *
 * @param name the name of the placer; instance i is named NAME-i
 * @param placement the settings of the placement policy; seed and number are set for each instance
 * @param seed the seed from which the seeds of the instances are derived
 * @param accounts the accounts that may connect
 * @param membershipLimits the limits of the membership of nodes
 * @param requestLimits the limits of the tracking of requests
 * @param admission the settings of the admission queue
 * @param tls the certificate, key and authorities; null for plain text
 * @param frames the limits of STOMP frames
 * @param heartbeat the heartbeat interval that the placer offers
 * @param handshakeMs the time in milliseconds within which a peer must send CONNECT
 * @param connections the maximum number of open connections per instance
 * @param state the settings of the persistent state
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
    private static final long INSTANCE_SEED_FACTOR = 1_000_003;

    /**
     * The settings of the state that is kept across restarts.
     *
     * @param durability the durability of each record; nothing is persisted with NONE
     * @param folder the parent of the folders of the instances; not used if nothing is persisted
     */
    public record State(Durability durability, Path folder) {
        /** Nothing is persisted. */
        public static final State NONE = new State(Durability.NONE, Path.of("state"));
    }

    /**
     * The TLS files of a placer.
     *
     * @param files the placer's certificate and key, and the authorities of its peers
     * @param clients whether clients need a certificate
     */
    public record TlsFiles(Tls.Pem files, Tls.Clients clients) {}

    /** Returns the placement settings of one instance, with its own seed and number. */
    Placement.Settings placementOf(int instance) {
        return placementSettings(
                seed * INSTANCE_SEED_FACTOR + instance, instance, placement.instanceCount());
    }

    /**
     * Returns the configuration of one of several placers at this site, which differs in name,
     * number, seed and accounts.
     *
     * @param placers the number of placers
     */
    public Site asPlacer(
            String newName, int number, int placers, long newSeed, List<Account> newAccounts) {
        Builder builder = new Builder(this);
        builder.name = newName;
        builder.placement = placementSettings(placement.seed(), number, placers);
        builder.seed = newSeed;
        builder.accounts = newAccounts;
        return builder.build();
    }

    /** Returns this site with other settings of the admission queue. */
    public Site withAdmission(AdmissionSettings newAdmission) {
        Builder builder = new Builder(this);
        builder.admission = newAdmission;
        return builder.build();
    }

    /** Returns this site without admission control and pending reasons, to measure their cost. */
    public Site withoutAdmissionQueue() {
        return withAdmission(admission.withQueueingDisabled());
    }

    /** Returns this site with TLS. */
    public Site withTls(TlsFiles newTls) {
        Builder builder = new Builder(this);
        builder.tls = newTls;
        return builder.build();
    }

    /** Returns this site with other settings of its persistent state. */
    public Site withState(State newState) {
        Builder builder = new Builder(this);
        builder.state = newState;
        return builder.build();
    }

    /** A builder of copies of a site in which some components are replaced. */
    private static final class Builder {
        private String name;
        private Placement.Settings placement;
        private long seed;
        private List<Account> accounts;
        private AdmissionSettings admission;
        private TlsFiles tls;
        private State state;
        private final Site original;

        Builder(Site original) {
            this.original = original;
            name = original.name;
            placement = original.placement;
            seed = original.seed;
            accounts = original.accounts;
            admission = original.admission;
            tls = original.tls;
            state = original.state;
        }

        Site build() {
            return new Site(
                    name,
                    placement,
                    seed,
                    accounts,
                    original.membershipLimits,
                    original.requestLimits,
                    admission,
                    tls,
                    original.frames,
                    original.heartbeat,
                    original.handshakeMs,
                    original.connections,
                    state);
        }
    }

    private Placement.Settings placementSettings(long policySeed, int number, int placers) {
        return new Placement.Settings(
                policySeed,
                number,
                placers,
                placement.zone(),
                placement.classes(),
                placement.machineKinds(),
                placement.tenants(),
                placement.loadReportMode(),
                placement.reportsMeasureUsage(),
                placement.listShowsFreeCapacity(),
                placement.listNeedsSubscription(),
                placement.acceptedWhenRunning(),
                placement.observesTasks(),
                placement.preempts(),
                placement.onePlacerPerService(),
                placement.coresOvercommit(),
                placement.memoryOvercommit(),
                placement.meanTaskCores(),
                placement.meanTaskMemory(),
                placement.overQuotaWeight(),
                placement.clientRetryMicros(),
                placement.costWeights(),
                placement.rules(),
                placement.limits());
    }
}
