package thornferry.testbed.diagnosis;

/** A step of a scenario: makes a reason true, or ends its cause. */
@FunctionalInterface
interface ScenarioStep {
    /** Runs the step; returns before the placer has necessarily reacted to it. */
    void run(ScenarioCluster cluster) throws ScenarioFailedException, InterruptedException;
}
