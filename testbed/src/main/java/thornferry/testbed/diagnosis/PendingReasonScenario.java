package thornferry.testbed.diagnosis;

import java.util.Optional;

/**
 * A site in which the task {@link ScenarioCluster#OBSERVED_TASK} is pending for one known reason.
 *
 * @param name name that the scenario command prints
 * @param extraSettings TOML tables added to the settings of {@link ScenarioSite}; may be empty
 * @param setup step that brings about the cause and submits the observed task
 * @param expected the reason that the placer must report
 * @param resolution step that ends the cause, after which the task must be placed; empty if the
 *     scenario does not end the cause and only other tests cover its end
 */
record PendingReasonScenario(
        String name,
        String extraSettings,
        ScenarioStep setup,
        ExpectedReason expected,
        Optional<ScenarioStep> resolution) {
    /** Value of {@link #extraSettings} for a scenario that needs no extra settings. */
    static final String NO_EXTRA_SETTINGS = "";
}
