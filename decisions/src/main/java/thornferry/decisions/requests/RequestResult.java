package thornferry.decisions.requests;

public enum RequestResult {
    PLACED,
    REJECTED,
    FAILED
}
