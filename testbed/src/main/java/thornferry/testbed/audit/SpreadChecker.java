package thornferry.testbed.audit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Rule 5: of one service a placer runs no more tasks in one group of nodes than allowed. */
final class SpreadChecker implements OfferChecker {
    private record ServiceAtPlacer(String placer, String service) {}

    private final AuditContext context;
    private final TracedNodes nodes;
    private final Map<ServiceAtPlacer, Set<TracedAttempt>> unfinishedAttempts = new HashMap<>();

    SpreadChecker(AuditContext context, TracedNodes nodes) {
        this.context = context;
        this.nodes = nodes;
    }

    @Override
    public void checkOffer(TracedAttempt offered) {
        TaskClass taskClass = offered.task().taskClass();
        Optional<NodeGroup> spreadGroup = taskClass.spreadGroup();
        if (spreadGroup.isEmpty()) {
            return;
        }
        NodeGroup group = spreadGroup.get();
        Set<TracedAttempt> attempts =
                unfinishedAttempts.computeIfAbsent(
                        serviceOf(offered.task()), service -> new HashSet<>());
        attempts.add(offered);
        long inGroup =
                attempts.stream()
                        .filter(other -> nodes.areInSameGroup(group, other.node(), offered.node()))
                        .count();
        if (inGroup > taskClass.maxTasksPerGroup()) {
            context.report(
                    Rule.SPREAD,
                    "service %s has %d tasks in the %s of %s; its class allows %d"
                            .formatted(
                                    offered.task().service(),
                                    inGroup,
                                    group.displayName(),
                                    offered.node(),
                                    taskClass.maxTasksPerGroup()));
        }
    }

    /** The attempt no longer counts. */
    void attemptFinished(TracedAttempt attempt) {
        Set<TracedAttempt> attempts = unfinishedAttempts.get(serviceOf(attempt.task()));
        if (attempts != null) {
            attempts.remove(attempt);
        }
    }

    void forgetPlacer(String placer) {
        unfinishedAttempts.keySet().removeIf(service -> service.placer().equals(placer));
    }

    private static ServiceAtPlacer serviceOf(TracedTask task) {
        return new ServiceAtPlacer(task.placer(), task.service());
    }
}
