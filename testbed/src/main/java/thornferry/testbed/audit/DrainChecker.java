package thornferry.testbed.audit;

import java.util.HashMap;
import java.util.Map;

/** Rule 3: a placer offers nothing to a node once it knows that the node is drained. */
final class DrainChecker implements OfferChecker {
    private record NodeAtPlacer(String placer, String node) {}

    private final AuditContext context;
    private final Map<NodeAtPlacer, Long> notifiedAtMicros = new HashMap<>();

    DrainChecker(AuditContext context) {
        this.context = context;
    }

    void drainRequested(String placer, FrameEvent.DrainRequested request) {
        NodeAtPlacer key = new NodeAtPlacer(placer, request.node());
        if (request.draining()) {
            notifiedAtMicros.putIfAbsent(key, context.nowMicros());
        } else {
            notifiedAtMicros.remove(key);
        }
    }

    void forgetPlacer(String placer) {
        notifiedAtMicros.keySet().removeIf(key -> key.placer().equals(placer));
    }

    @Override
    public void checkOffer(TracedAttempt offered) {
        TracedTask task = offered.task();
        Long notifiedAt = notifiedAtMicros.get(new NodeAtPlacer(task.placer(), offered.node()));
        if (notifiedAt == null) {
            return;
        }
        long elapsedMicros = context.nowMicros() - notifiedAt;
        if (elapsedMicros > context.rules().drainGraceMicros()) {
            context.report(
                    Rule.DRAIN,
                    "%s is offered to %s, which drains, %d ms after %s was told"
                            .formatted(
                                    task.displayName(),
                                    offered.node(),
                                    elapsedMicros / AuditContext.MICROS_PER_MILLI,
                                    task.placer()));
        }
    }
}
