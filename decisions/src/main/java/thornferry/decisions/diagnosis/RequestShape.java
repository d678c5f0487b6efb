package thornferry.decisions.diagnosis;

import thornferry.decisions.admission.QueuedRequest;

/** The properties of a request that determine which machines can take it. */
record RequestShape(double cores, double memory, String taskClass) {
    static RequestShape of(QueuedRequest request) {
        return new RequestShape(request.cores(), request.memory(), request.taskClass());
    }
}
