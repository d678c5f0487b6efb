package thornferry.testbed.diagnosis;

/** A step of a scenario, which brings about or ends the cause of a pending reason. */
@FunctionalInterface
interface ScenarioStep {
    /** Runs the step. The placer may not have reacted to it yet when the method returns. */
    void run(ScenarioCluster cluster) throws ScenarioFailedException, InterruptedException;
}
