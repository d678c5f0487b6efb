package thornferry.decisions.diagnosis;

import java.util.List;
import thornferry.decisions.diagnosis.PendingReasons.Evidence;
import thornferry.decisions.diagnosis.PendingReasons.Kind;
import thornferry.decisions.diagnosis.PendingReasons.Reason;

/**
 * The reason why a task is pending now, without the time at which the reason began.
 *
 * @param endsWhen what would end the reason, in words; may be empty
 */
record Diagnosis(Kind kind, List<Evidence> evidence, String endsWhen) {
    Diagnosis {
        evidence = List.copyOf(evidence);
    }

    static Diagnosis withoutEvidence(Kind kind, String endsWhen) {
        return new Diagnosis(kind, List.of(), endsWhen);
    }

    static Diagnosis of(Kind kind, Evidence evidence, String endsWhen) {
        return new Diagnosis(kind, List.of(evidence), endsWhen);
    }

    Reason toReason(long sinceMicros) {
        return new Reason(kind, sinceMicros, evidence, endsWhen);
    }
}
