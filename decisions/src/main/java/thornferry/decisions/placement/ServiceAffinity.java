package thornferry.decisions.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import thornferry.decisions.placement.Placement.TopologyScope;

/**
 * The machines on which this placer's own tasks of each service run. A machine that runs such a
 * task, or ran one recently, has the service's program, so that a further task starts there without
 * set-up.
 */
final class ServiceAffinity {
    /**
     * How long a machine keeps a program, approximately, after the last own task of the service has
     * ended there.
     */
    static final long PROGRAM_RETENTION_MICROS = 8 * Micros.SECOND;

    /**
     * The likelihood of a set-up on the first preferred machine, followed by the increment for each
     * further one.
     */
    private static final double FIRST_PREFERRED_SETUP_LIKELIHOOD = 0.1;

    private static final double NEXT_PREFERRED_SETUP_INCREMENT = 0.12;

    private static final long LONG_AGO_MICROS = Long.MIN_VALUE / 2;

    /** The own tasks of one service on one machine. */
    private static final class OwnTasks {
        private int count;
        private long lastEndedMicros = LONG_AGO_MICROS;

        boolean isExpired(long nowMicros) {
            return count == 0 && lastEndedMicros < nowMicros - PROGRAM_RETENTION_MICROS;
        }
    }

    private final EventContext context;
    private final Map<String, Map<TrackedMachine, OwnTasks>> tasksByService = new HashMap<>();

    ServiceAffinity(EventContext context) {
        this.context = context;
    }

    private Map<TrackedMachine, OwnTasks> tasksOf(String service) {
        return tasksByService.getOrDefault(service, Map.of());
    }

    /** Returns the machines that run or recently ran own tasks of the service. */
    Set<TrackedMachine> machinesOf(String service) {
        return tasksOf(service).keySet();
    }

    void addTask(TrackedMachine machine, String service) {
        tasksByService
                .computeIfAbsent(service, name -> new LinkedHashMap<>())
                .computeIfAbsent(machine, key -> new OwnTasks())
                .count++;
    }

    /**
     * Removes a task that has ended.
     *
     * @param accepted whether the machine had accepted the task
     */
    void removeTask(TrackedMachine machine, String service, boolean accepted) {
        Map<TrackedMachine, OwnTasks> tasksByMachine = tasksByService.get(service);
        OwnTasks tasks = tasksByMachine.get(machine);
        tasks.count--;
        if (accepted) {
            tasks.lastEndedMicros = context.nowMicros();
        }
        tasksByMachine.values().removeIf(ownTasks -> ownTasks.isExpired(context.nowMicros()));
    }

    /**
     * Returns the likelihood that the task's program must be set up on the machine: 0 if an own
     * task of the service runs there, low on a preferred machine, up to 1 on other machines.
     */
    double setupLikelihood(TrackedMachine machine, TrackedTask task) {
        OwnTasks tasks = tasksOf(task.service()).get(machine);
        if (tasks != null && tasks.count > 0) {
            return 0;
        }
        int preferenceIndex = task.preferredMachines().indexOf(machine);
        double likelihoodByOwnTasks =
                tasks == null
                        ? 1
                        : Interval.clampToUnit(
                                (context.nowMicros() - tasks.lastEndedMicros)
                                        / (double) PROGRAM_RETENTION_MICROS);
        return preferenceIndex < 0
                ? likelihoodByOwnTasks
                : Math.min(
                        likelihoodByOwnTasks,
                        FIRST_PREFERRED_SETUP_LIKELIHOOD
                                + NEXT_PREFERRED_SETUP_INCREMENT * preferenceIndex);
    }

    /**
     * Returns whether the class's limit on own tasks of one service in one scope allows another
     * task.
     *
     * <p>Tasks are counted by the current list entries of their machines, since a task may be
     * adopted before its machine is listed.
     */
    boolean isWithinSpreadLimit(TrackedMachine machine, TrackedTask task) {
        TopologyScope scope = task.taskClass().spreadScope();
        if (scope == TopologyScope.NONE) {
            return true;
        }
        int count = 0;
        for (Map.Entry<TrackedMachine, OwnTasks> tasks : tasksOf(task.service()).entrySet()) {
            TrackedMachine other = tasks.getKey();
            if (other == machine || machine.sharesScope(scope, other)) {
                count += tasks.getValue().count;
            }
        }
        return count < task.taskClass().maxTasksPerScope();
    }

    /**
     * Removes the services without a running task on a machine that has restarted, since the
     * restart has discarded their programs.
     */
    void removeIdleServices(TrackedMachine machine) {
        tasksByService
                .values()
                .forEach(
                        tasksByMachine ->
                                tasksByMachine.computeIfPresent(
                                        machine, (key, tasks) -> tasks.count == 0 ? null : tasks));
    }

    /** Returns whether tasks of any service are recorded for the machine. */
    boolean isReferenced(TrackedMachine machine) {
        return tasksByService.values().stream()
                .anyMatch(tasksByMachine -> tasksByMachine.containsKey(machine));
    }

    /** Removes the services whose last task ended longer ago than machines keep programs. */
    void prune() {
        long nowMicros = context.nowMicros();
        tasksByService
                .values()
                .forEach(
                        tasksByMachine ->
                                tasksByMachine
                                        .values()
                                        .removeIf(ownTasks -> ownTasks.isExpired(nowMicros)));
        tasksByService.values().removeIf(Map::isEmpty);
    }

    /** Returns the number of services that have tasks recorded. */
    int serviceCount() {
        return tasksByService.size();
    }
}
