package thornferry.testbed.diagnosis;

/** A scenario in which the placer did not show the true reason or did not place the task. */
public final class ScenarioFailedException extends Exception {
    private static final long serialVersionUID = 1;

    ScenarioFailedException(String message) {
        super(message);
    }

    ScenarioFailedException(String message, Throwable cause) {
        super(message + ": " + cause, cause);
    }

    /** The same failure, with the name of its scenario in the message. */
    ScenarioFailedException inScenario(String scenario) {
        ScenarioFailedException named = new ScenarioFailedException(scenario + ": " + getMessage());
        named.initCause(this);
        return named;
    }
}
