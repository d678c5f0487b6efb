/**
 * Small sites on loopback in which a task is pending for one known reason, to check that the placer
 * reports this reason and places the task once its cause ends.
 *
 * <p>{@link thornferry.testbed.diagnosis.PendingReasonScenarios} plays all of them. The parts are:
 *
 * <ul>
 *   <li>{@code PendingReasonScenario}: one scenario; the {@code …Scenarios} classes declare them by
 *       subject, and {@code ReasonChangeScenario} is the one in which the reason changes;
 *   <li>{@code ScenarioCluster}: the site, its placer, clients and nodes while a scenario plays;
 *   <li>{@code ScriptedNode}: a node whose responses to offers the scenario sets;
 *   <li>{@code QueryTiming}: compares the response times of queries that must not differ;
 *   <li>{@link thornferry.testbed.diagnosis.LoopbackPlacer}: a placer with its clients, which the
 *       tests of the whole path use as well.
 * </ul>
 */
package thornferry.testbed.diagnosis;
