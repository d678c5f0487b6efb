package thornferry.decisions.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import thornferry.decisions.placement.Placement.TopologyScope;

/**
 * Where this placer's own tasks of each service are: a machine that runs one, or ran one recently,
 * has the service's program, so that a further task starts there without setting it up.
 */
final class ServiceAffinity {
    /** A machine retains a program for about this long after its last own task has ended. */
    static final long PROGRAM_RETENTION_MICROS = 8 * Micros.SECOND;

    /** Likelihood of a set-up on the first preferred machine, and what each further one adds. */
    private static final double FIRST_PREFERRED_SETUP = 0.1;

    private static final double NEXT_PREFERRED_SETUP = 0.12;

    private static final long LONG_AGO_MICROS = Long.MIN_VALUE / 2;

    /** Own tasks of one service on one machine. */
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

    /** The machines that run or recently ran own tasks of the service. */
    Set<TrackedMachine> machinesOf(String service) {
        return tasksOf(service).keySet();
    }

    void addTask(TrackedMachine machine, String service) {
        tasksByService
                .computeIfAbsent(service, name -> new LinkedHashMap<>())
                .computeIfAbsent(machine, key -> new OwnTasks())
                .count++;
    }

    /** A task has ended; {@code ran} where the machine had accepted it. */
    void removeTask(TrackedMachine machine, String service, boolean ran) {
        Map<TrackedMachine, OwnTasks> tasksByMachine = tasksByService.get(service);
        OwnTasks tasks = tasksByMachine.get(machine);
        tasks.count--;
        if (ran) {
            tasks.lastEndedMicros = context.nowMicros();
        }
        tasksByMachine.values().removeIf(own -> own.isExpired(context.nowMicros()));
    }

    /**
     * The likelihood that the task's program has to be set up: 0 where an own task of the service
     * runs, little on a preferred machine, up to 1 elsewhere.
     */
    double setupLikelihood(TrackedMachine machine, TrackedTask task) {
        OwnTasks tasks = tasksOf(task.service()).get(machine);
        if (tasks != null && tasks.count > 0) {
            return 0;
        }
        int preference = task.preferredMachines().indexOf(machine);
        double elsewhere =
                tasks == null
                        ? 1
                        : Interval.clampToUnit(
                                (context.nowMicros() - tasks.lastEndedMicros)
                                        / (double) PROGRAM_RETENTION_MICROS);
        return preference < 0
                ? elsewhere
                : Math.min(elsewhere, FIRST_PREFERRED_SETUP + NEXT_PREFERRED_SETUP * preference);
    }

    /**
     * Whether the class's limit on own tasks of one service in one scope allows another one.
     *
     * <p>Counted over the machines as listed now, since a task may be adopted before its machine is
     * listed.
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

    /** The machine has restarted, so it has only the programs of tasks that are running. */
    void forgetIdle(TrackedMachine machine) {
        tasksByService
                .values()
                .forEach(
                        tasksByMachine ->
                                tasksByMachine.computeIfPresent(
                                        machine, (key, tasks) -> tasks.count == 0 ? null : tasks));
    }

    /** Whether any service has the machine on record. */
    boolean isReferenced(TrackedMachine machine) {
        return tasksByService.values().stream()
                .anyMatch(tasksByMachine -> tasksByMachine.containsKey(machine));
    }

    /** Forgets services whose tasks have ended longer ago than programs are retained. */
    void prune() {
        long nowMicros = context.nowMicros();
        tasksByService
                .values()
                .forEach(
                        tasksByMachine ->
                                tasksByMachine.values().removeIf(own -> own.isExpired(nowMicros)));
        tasksByService.values().removeIf(Map::isEmpty);
    }

    /** The number of services on record. */
    int serviceCount() {
        return tasksByService.size();
    }
}
