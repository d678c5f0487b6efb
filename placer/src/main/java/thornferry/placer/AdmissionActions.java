package thornferry.placer;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import thornferry.decisions.admission.AdmissionQueue;
import thornferry.decisions.admission.QueuedRequest;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.requests.RequestTracker;

/**
 * Carries out the actions of the {@link AdmissionQueue}, which dispatch, recall or shed requests.
 */
final class AdmissionActions implements Consumer<AdmissionQueue.Action> {
    private final PlacerComponents components;

    /** The requests that are neither placed nor completed, by request id. */
    private final Map<String, Placement.PlacementRequest> placementRequestsById = new HashMap<>();

    AdmissionActions(PlacerComponents components) {
        this.components = components;
    }

    /** Puts a request into the admission queue. */
    void enqueue(long nowMicros, RequestTracker.Dispatch dispatch) {
        Placement.PlacementRequest request = dispatch.request();
        QueuedRequest queued =
                components.taskClasses.queuedRequest(
                        request,
                        dispatch.owner(),
                        dispatch.deadlineMicros(),
                        dispatch.lastRejectedBy());
        placementRequestsById.put(request.id(), request);
        components.reasons.queued(dispatch.spec().id(), queued);
        components.admissionQueue.handleArrival(nowMicros, queued, this);
    }

    /** Removes a request that will not be dispatched any more. */
    void forget(String requestId) {
        placementRequestsById.remove(requestId);
    }

    @Override
    public void accept(AdmissionQueue.Action action) {
        if (action instanceof AdmissionQueue.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof AdmissionQueue.Recall recall) {
            components.reasons.stageChanged(recall.requestId());
            components.policy.accept(new Placement.ClientDisconnected(recall.requestId()));
        } else if (action instanceof AdmissionQueue.Reject shed) {
            components.requests.shed(
                    components.clock().now(),
                    shed.requestId(),
                    shed.reason(),
                    shed.retryAfterMicros(),
                    components.requestActions);
        }
    }

    private void dispatch(AdmissionQueue.Dispatch dispatch) {
        Placement.PlacementRequest request = placementRequestsById.get(dispatch.requestId());
        components.reasons.stageChanged(dispatch.requestId());
        if (request != null) {
            components.policy.accept(
                    new Placement.PlacementRequested(
                            withMaxWait(request, dispatch.maxWaitMicros())));
        }
    }

    private static Placement.PlacementRequest withMaxWait(
            Placement.PlacementRequest request, long maxWaitMicros) {
        return new Placement.PlacementRequest(
                request.id(),
                request.taskClass(),
                request.tenant(),
                request.task(),
                maxWaitMicros,
                request.expectedRunMicros(),
                request.service(),
                request.cores(),
                request.memory(),
                request.retry());
    }
}
