package thornferry.decisions.diagnosis;

import java.util.List;
import thornferry.decisions.diagnosis.PendingReasons.Evidence;
import thornferry.decisions.diagnosis.PendingReasons.Kind;
import thornferry.decisions.diagnosis.PendingReasons.Reason;

/** Why a task is pending at this moment, regardless of for how long that has been so. */
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

    Reason since(long micros) {
        return new Reason(kind, micros, evidence, endsWhen);
    }
}
