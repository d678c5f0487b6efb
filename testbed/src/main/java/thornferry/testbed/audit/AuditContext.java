package thornferry.testbed.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import thornferry.testbed.audit.TraceAuditor.Violation;

/** What all checkers share: the place in the capture, the site's rules, the violations so far. */
final class AuditContext {
    static final long MICROS_PER_MILLI = 1_000;

    private final long slackMicros;
    private final List<Violation> violations = new ArrayList<>();
    private final Map<String, TaskClass> taskClasses = new HashMap<>();
    private AuditRules rules = AuditRules.UNDECLARED;
    private boolean siteDeclared;
    private boolean resultsSurviveKill;
    private long lineNumber;
    private long nowMicros;

    /**
     * @param slackMicros how much later than allowed a result may be recorded, and within which
     *     frames of different connections have no order: a placer that cancels an attempt and then
     *     offers the task elsewhere may be seen to do the two the other way round
     */
    AuditContext(long slackMicros) {
        this.slackMicros = slackMicros;
    }

    void nextLine() {
        lineNumber++;
    }

    void moveTo(long micros) {
        nowMicros = micros;
    }

    void declareSite(CaptureEvent.SiteDeclared site) {
        siteDeclared = true;
        rules = site.rules();
        resultsSurviveKill = site.resultsSurviveKill();
        site.taskClasses().forEach(taskClass -> taskClasses.put(taskClass.name(), taskClass));
    }

    /** Reports once if the capture does not begin with its site; its limits are zero then. */
    void requireSite() {
        if (!siteDeclared) {
            siteDeclared = true;
            report(Rule.READABLE, "the capture must begin with its site");
        }
    }

    void report(Rule rule, String description) {
        report(violationHere(rule, description));
    }

    void report(Violation violation) {
        violations.add(violation);
    }

    /** A violation at the present row, not reported yet. */
    Violation violationHere(Rule rule, String description) {
        return violationAt(lineNumber, rule, description);
    }

    /** A violation that is noticed now but concerns an earlier line; not reported yet. */
    Violation violationAt(long line, Rule rule, String description) {
        return new Violation(rule.number(), line, nowMicros, description);
    }

    List<Violation> violations() {
        return List.copyOf(violations);
    }

    Optional<TaskClass> taskClass(String name) {
        return Optional.ofNullable(taskClasses.get(name));
    }

    AuditRules rules() {
        return rules;
    }

    boolean resultsSurviveKill() {
        return resultsSurviveKill;
    }

    long lineNumber() {
        return lineNumber;
    }

    long nowMicros() {
        return nowMicros;
    }

    long slackMicros() {
        return slackMicros;
    }

    /** The latest time that precedes the present row whatever the order within the slack. */
    long orderedBeforeMicros() {
        return nowMicros - slackMicros;
    }
}
