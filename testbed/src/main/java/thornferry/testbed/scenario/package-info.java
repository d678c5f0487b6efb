/**
 * Plays scripted scenarios: placers in processes of their own, nodes and clients on loopback, a
 * recording proxy on every connection, and faults at given times.
 *
 * <p>{@link thornferry.testbed.scenario.ScenarioFile} is a scenario as its TOML file describes it;
 * {@code DayTable}, {@code FleetTables}, {@code TrafficTables} and {@code FaultTables} read its
 * tables. {@link thornferry.testbed.scenario.ScenarioRunner} plays one:
 *
 * <ul>
 *   <li>{@code ScenarioCluster} starts placers, proxies and nodes; {@code PlacerProcess} and {@code
 *       NodeProcess} are processes that can be killed and restarted, on top of {@code
 *       ChildProcess};
 *   <li>{@code ChildMain} runs in the child processes, with {@code ChildArguments};
 *   <li>{@code ScenarioClients} has one {@code ClientWorkload} for each placer;
 *   <li>{@code FaultInjector} injects the faults, {@code ProcessRestarter} those that kill
 *       processes, {@code DrainOperator} the drains.
 * </ul>
 *
 * <p>Whether the placers kept their guarantees is not judged here, but by {@link
 * thornferry.testbed.audit.TraceAuditor} from the capture. Each random generator is seeded from the
 * scenario's seed; two runs nevertheless differ, because they run in real time.
 */
package thornferry.testbed.scenario;
