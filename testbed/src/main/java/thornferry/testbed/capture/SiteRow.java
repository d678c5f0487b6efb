package thornferry.testbed.capture;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import thornferry.decisions.placement.Placement;
import thornferry.placer.Site;
import thornferry.state.Durability;

/** Converts a site's configuration to the first row of a capture file. */
final class SiteRow {
    private static final ObjectMapper JSON = new ObjectMapper();

    private SiteRow() {}

    static ObjectNode of(Site site, double startsPerSecond) {
        boolean resultsSurviveKill = site.state().durability() != Durability.NONE;
        ObjectNode row =
                JSON.createObjectNode()
                        .put(CaptureFormat.ROW_KIND, CaptureFormat.SITE_ROW)
                        .put(CaptureFormat.RESULTS_SURVIVE_KILL, resultsSurviveKill);
        putRules(row.putObject(CaptureFormat.RULES), site, startsPerSecond);
        ArrayNode taskClasses = row.putArray(CaptureFormat.TASK_CLASSES);
        site.placement()
                .classes()
                .forEach(taskClass -> putTaskClass(taskClasses.addObject(), taskClass));
        return row;
    }

    private static void putRules(ObjectNode row, Site site, double startsPerSecond) {
        var rules = site.placement().rules();
        row.put(CaptureFormat.ANSWER_GRACE, rules.answerGraceMicros())
                .put(CaptureFormat.DRAIN_GRACE, rules.drainGraceMicros())
                .put(CaptureFormat.SLOW_START, rules.slowStartMicros())
                .put(CaptureFormat.SLOW_START_INITIAL_SHARE, rules.slowStartInitialShare())
                .put(CaptureFormat.SLOW_START_MULTIPLE, rules.slowStartMultiple())
                .put(CaptureFormat.SLOW_START_WINDOW, rules.slowStartWindowMicros())
                .put(CaptureFormat.SLOW_START_OFFERS, rules.slowStartOffers())
                .put(CaptureFormat.MAX_WAIT, site.requestLimits().maxWaitMicros())
                .put(CaptureFormat.STARTS_PER_SECOND, startsPerSecond);
    }

    private static void putTaskClass(ObjectNode row, Placement.TaskClass taskClass) {
        row.put(CaptureFormat.CLASS_NAME, taskClass.name())
                .put(CaptureFormat.CLASS_IDEMPOTENCY, idempotency(taskClass.idempotency()))
                .put(CaptureFormat.CLASS_KEY_SCOPE, taskClass.keyScope().name())
                .put(CaptureFormat.CLASS_KEY_WINDOW, taskClass.keyWindowMicros())
                .put(CaptureFormat.CLASS_DEADLINE, taskClass.deadlineMicros())
                .put(CaptureFormat.CLASS_SPREAD_SCOPE, taskClass.spreadScope().name())
                .put(CaptureFormat.CLASS_MAX_TASKS_PER_SCOPE, taskClass.maxTasksPerScope());
    }

    private static String idempotency(Placement.Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> CaptureFormat.IDEMPOTENT;
            case IDEMPOTENT_WITH_KEY -> CaptureFormat.IDEMPOTENT_WITH_KEY;
            case NON_IDEMPOTENT -> CaptureFormat.NON_IDEMPOTENT;
        };
    }
}
