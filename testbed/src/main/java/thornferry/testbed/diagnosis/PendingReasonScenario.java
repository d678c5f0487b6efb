package thornferry.testbed.diagnosis;

import java.util.Optional;

/**
 * A site in which the task {@link ScenarioCluster#OBSERVED_TASK} is pending for one known reason.
 *
 * @param name printed by the command
 * @param extraSettings TOML tables added to the settings of {@link ScenarioSite}; may be empty
 * @param setup makes the reason true and submits the observed task
 * @param expected the reason that the placer must report
 * @param resolution ends the cause, after which the task must be placed; absent where only other
 *     tests cover the end
 */
record PendingReasonScenario(
        String name,
        String extraSettings,
        ScenarioStep setup,
        ExpectedReason expected,
        Optional<ScenarioStep> resolution) {
    /** Extra settings of a scenario that needs none. */
    static final String NO_EXTRA_SETTINGS = "";
}
