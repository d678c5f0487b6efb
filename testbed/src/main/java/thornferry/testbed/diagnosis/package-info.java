/**
 * Scenarios in which a task is pending for one known reason, to check that the placer reports this
 * reason and places the task once its cause ends. Each scenario runs a small site on the loopback
 * interface.
 *
 * <p>{@link thornferry.testbed.diagnosis.PendingReasonScenarios} runs all scenarios. The parts are:
 *
 * <ul>
 *   <li>{@code PendingReasonScenario}: one scenario; the {@code …Scenarios} classes declare them by
 *       subject, and {@code ReasonChangeScenario} is the one in which the reason changes;
 *   <li>{@code ScenarioCluster}: the placer, clients and nodes of a running scenario;
 *   <li>{@code ScriptedNode}: a node whose responses to offers the scenario sets;
 *   <li>{@code QueryTiming}: compares the response times of queries that must not differ;
 *   <li>{@link thornferry.testbed.diagnosis.LoopbackPlacer}: a placer with its clients, which
 *       end-to-end tests use as well.
 * </ul>
 */
package thornferry.testbed.diagnosis;
