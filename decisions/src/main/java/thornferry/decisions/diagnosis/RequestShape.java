package thornferry.decisions.diagnosis;

import thornferry.decisions.admission.QueuedRequest;

/** What determines which machines can take a request: its resources and its task class. */
record RequestShape(double cores, double memory, String taskClass) {
    static RequestShape of(QueuedRequest request) {
        return new RequestShape(request.cores(), request.memory(), request.taskClass());
    }
}
