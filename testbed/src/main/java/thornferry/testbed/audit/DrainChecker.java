package thornferry.testbed.audit;

import java.util.HashMap;
import java.util.Map;

/** Rule 3: a placer offers nothing to a node once it knows that the node is drained. */
final class DrainChecker implements OfferChecker {
    private record NodeAtPlacer(String placer, String node) {}

    private record ReceiptKey(TracedConnection connection, String receipt) {}

    /** A drain whose receipt has not passed: the placer may not have read it. */
    private record UnreceiptedDrain(NodeAtPlacer node, long requestedAtMicros) {}

    private final AuditContext context;
    private final Map<NodeAtPlacer, Long> notifiedAtMicros = new HashMap<>();
    private final Map<ReceiptKey, UnreceiptedDrain> unreceiptedDrains = new HashMap<>();

    DrainChecker(AuditContext context) {
        this.context = context;
    }

    /** An operator drains a node or ends its drain. */
    void drainRequested(TracedConnection connection, FrameEvent.DrainRequested request) {
        NodeAtPlacer node = new NodeAtPlacer(connection.placer(), request.node());
        if (!request.draining()) {
            notifiedAtMicros.remove(node);
        } else if (!connection.isEndedByError()) {
            beginDrain(connection, node, request);
        }
    }

    private void beginDrain(
            TracedConnection connection, NodeAtPlacer node, FrameEvent.DrainRequested request) {
        long nowMicros = context.nowMicros();
        if (notifiedAtMicros.putIfAbsent(node, nowMicros) == null) {
            request.receipt()
                    .ifPresent(
                            receipt ->
                                    unreceiptedDrains.put(
                                            new ReceiptKey(connection, receipt),
                                            new UnreceiptedDrain(node, nowMicros)));
        }
    }

    /** The placer confirms a frame; if it was a drain, an ERROR no longer makes it void. */
    void receiptSent(TracedConnection connection, String receipt) {
        unreceiptedDrains.remove(new ReceiptKey(connection, receipt));
    }

    /**
     * The placer has ended a connection by an ERROR and reads nothing more on it: a drain without a
     * receipt was rejected by the ERROR or crossed it.
     */
    void connectionEndedByError(TracedConnection connection) {
        unreceiptedDrains
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean unread = entry.getKey().connection() == connection;
                            if (unread) {
                                forgetDrain(entry.getValue());
                            }
                            return unread;
                        });
    }

    /** Keeps the notification if it is that of another drain of the node. */
    private void forgetDrain(UnreceiptedDrain drain) {
        notifiedAtMicros.remove(drain.node(), drain.requestedAtMicros());
    }

    void forgetPlacer(String placer) {
        notifiedAtMicros.keySet().removeIf(node -> node.placer().equals(placer));
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
