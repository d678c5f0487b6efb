package thornferry.testbed.diagnosis;

/** Thrown if a step of a scenario fails, or if the placer does not behave as expected. */
public final class ScenarioFailedException extends Exception {
    private static final long serialVersionUID = 1;

    ScenarioFailedException(String message) {
        super(message);
    }

    ScenarioFailedException(String message, Throwable cause) {
        super(message + ": " + cause, cause);
    }

    /** Returns a copy of this exception with the scenario's name in front of the message. */
    ScenarioFailedException inScenario(String scenario) {
        ScenarioFailedException named = new ScenarioFailedException(scenario + ": " + getMessage());
        named.initCause(this);
        return named;
    }
}
