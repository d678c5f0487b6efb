package thornferry.testbed.scenario;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * The duration and the size of a scenario.
 *
 * @param trafficDuration how long clients submit tasks
 * @param quietDuration how long the scenario then continues, so that pending requests get results
 * @param seed from which every random generator of the scenario is seeded
 * @param placerCount number of placers, each a process of its own behind a proxy of its own
 * @param nodeProcessCount number of processes that run the nodes, all nodes of a zone in the same
 *     one; 0 if the nodes run in the process of the scenario
 * @param clientsPerPlacer number of clients of each placer
 * @param meanDisconnectIntervalSeconds mean time from one disconnect of a random client to the
 *     next; empty if clients disconnect only through faults
 * @param tls whether all connections use TLS, and placers store hashes of passcodes
 */
public record ScenarioSettings(
        Duration trafficDuration,
        Duration quietDuration,
        long seed,
        int placerCount,
        int nodeProcessCount,
        int clientsPerPlacer,
        OptionalDouble meanDisconnectIntervalSeconds,
        boolean tls) {
    /** Whether the nodes run in processes of their own, which can be killed. */
    public boolean hasNodeProcesses() {
        return nodeProcessCount > 0;
    }

    /** The same settings with another seed. */
    ScenarioSettings withSeed(long newSeed) {
        return new ScenarioSettings(
                trafficDuration,
                quietDuration,
                newSeed,
                placerCount,
                nodeProcessCount,
                clientsPerPlacer,
                meanDisconnectIntervalSeconds,
                tls);
    }
}
