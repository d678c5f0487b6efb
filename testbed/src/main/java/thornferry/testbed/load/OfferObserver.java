package thornferry.testbed.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import thornferry.agent.NodeAgent;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Effect;
import thornferry.protocol.v1.Offer;
import thornferry.protocol.v1.Order;

/** Measures at the emulated nodes when a task is first offered, and finds duplicate starts. */
final class OfferObserver implements NodeAgent.Watcher {
    private record PendingTask(LoadClient client, long dueNanos) {}

    private final Map<String, PendingTask> pendingTasks = new ConcurrentHashMap<>();
    private final DuplicateStartDetector duplicateStarts = new DuplicateStartDetector();
    private volatile StepMeasurement measurement = new StepMeasurement();

    /** Offers from now on belong to this step. */
    void measureInto(StepMeasurement newMeasurement) {
        measurement = newMeasurement;
    }

    /** A task is about to be requested. */
    void taskDue(String task, LoadClient client, long dueNanos) {
        pendingTasks.put(task, new PendingTask(client, dueNanos));
    }

    /** Number of non-idempotent tasks that have started more than once. */
    long duplicateStarts() {
        return duplicateStarts.duplicateCount();
    }

    @Override
    public void orderReceived(String node, Order order) {
        if (!order.hasOffer()) {
            return;
        }
        Offer offer = order.getOffer();
        String task = offer.getTask().getId();
        PendingTask pending = pendingTasks.remove(task);
        if (pending != null && !pending.client().isDisturbed(pending.dueNanos())) {
            long latencyMicros = LoadClient.microsSince(pending.dueNanos());
            measurement.taskOffered(latencyMicros, offer.getEffect() != Effect.SAFE);
        }
        if (offer.getTask().getTaskClass().equals(TaskClasses.LEVY_RUN)) {
            duplicateStarts.offered(offer.getAttempt(), task);
        }
    }

    @Override
    public void answerSent(String node, Answer answer) {
        if (answer.getKind() == Answer.Kind.RUNS) {
            duplicateStarts.started(answer.getAttempt());
        }
    }
}
