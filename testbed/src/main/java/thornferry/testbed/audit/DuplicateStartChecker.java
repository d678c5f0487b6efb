package thornferry.testbed.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Rule 2, by the starts: a non-idempotent task starts once, and an idempotency key once within its
 * window and zone, whichever placers offered it.
 */
final class DuplicateStartChecker {
    /**
     * A task that started on a node.
     *
     * @param offeredAtMicros when it was sent; the window of its key begins there
     */
    private record Start(String attemptId, long offeredAtMicros, String zone) {}

    private record ClassKey(String taskClass, String idempotencyKey) {}

    private final AuditContext context;
    private final TracedNodes nodes;
    private final Set<String> startedAttempts = new HashSet<>();
    private final Map<TaskKey.AtAnyPlacer, Start> startsOfNonIdempotent = new HashMap<>();
    private final Map<ClassKey, List<Start>> startsByKey = new HashMap<>();

    DuplicateStartChecker(AuditContext context, TracedNodes nodes) {
        this.context = context;
        this.nodes = nodes;
    }

    /**
     * An attempt is reported to run; only the first report of it counts.
     *
     * @param node the node that runs it
     * @param offeredAtMicros when it was sent
     */
    void started(TracedAttempt attempt, String node, long offeredAtMicros) {
        if (!startedAttempts.add(attempt.id())) {
            return;
        }
        Start start = new Start(attempt.id(), offeredAtMicros, nodes.zoneOf(node));
        Idempotency idempotency = attempt.task().idempotency();
        if (idempotency == Idempotency.NON_IDEMPOTENT) {
            checkOnlyStart(attempt.task(), start);
        } else if (idempotency == Idempotency.IDEMPOTENT_WITH_KEY) {
            checkOnlyStartOfKey(attempt.task(), start);
        }
    }

    private void checkOnlyStart(TracedTask task, Start start) {
        Start earlier = startsOfNonIdempotent.put(task.key().atAnyPlacer(), start);
        if (earlier != null) {
            context.report(
                    Rule.AT_MOST_ONCE,
                    "%s started twice: %s and %s"
                            .formatted(task.displayName(), earlier.attemptId(), start.attemptId()));
        }
    }

    /**
     * The zone remembers a key at the latest from when the first attempt was sent, and looks at the
     * second before it starts.
     */
    private void checkOnlyStartOfKey(TracedTask task, Start start) {
        TaskClass taskClass = task.taskClass();
        ClassKey key = new ClassKey(taskClass.name(), task.idempotencyKey());
        List<Start> earlierStarts = startsByKey.computeIfAbsent(key, k -> new ArrayList<>());
        for (Start earlier : earlierStarts) {
            boolean withinWindow =
                    context.nowMicros() - earlier.offeredAtMicros() < taskClass.keyWindowMicros();
            if (withinWindow && earlier.zone().equals(start.zone())) {
                context.report(
                        Rule.AT_MOST_ONCE,
                        "key %s started twice in %s within its window"
                                .formatted(task.idempotencyKey(), start.zone()));
            }
        }
        earlierStarts.add(start);
    }

    long startCount() {
        return startedAttempts.size();
    }
}
