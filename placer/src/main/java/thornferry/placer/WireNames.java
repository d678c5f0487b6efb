package thornferry.placer;

import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.RequestResult;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Effect;
import thornferry.protocol.v1.Reason;

/**
 * Maps enumerated values to and from their names in the STOMP protocol. The names on the wire must
 * never change, while the constants may be renamed.
 */
final class WireNames {
    private WireNames() {}

    static Effect effect(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> Effect.SAFE;
            case IDEMPOTENT_WITH_KEY -> Effect.KEYED;
            case NON_IDEMPOTENT -> Effect.UNSAFE;
        };
    }

    static Idempotency idempotency(Effect effect) {
        return switch (effect) {
            case KEYED -> Idempotency.IDEMPOTENT_WITH_KEY;
            case UNSAFE -> Idempotency.NON_IDEMPOTENT;
            default -> Idempotency.IDEMPOTENT;
        };
    }

    /**
     * Returns the attempt status of an answer.
     *
     * @throws ProtocolException if the kind is not the status of an attempt
     */
    static AttemptStatus attemptStatus(Answer.Kind kind) throws ProtocolException {
        return switch (kind) {
            case ACCEPTED -> AttemptStatus.ACCEPTED;
            case REFUSED -> AttemptStatus.REJECTED;
            case RUNS -> AttemptStatus.RUNNING;
            case ENDED -> AttemptStatus.COMPLETED;
            case EVICTED -> AttemptStatus.EVICTED;
            case SENT_AWAY -> AttemptStatus.EVACUATED;
            case WITHDRAWN -> AttemptStatus.CANCELLED;
            default -> throw new ProtocolException("an answer must have a known kind");
        };
    }

    static RejectionReason rejectionReason(Answer.Reason reason) {
        return switch (reason) {
            case NO_CORES -> RejectionReason.INSUFFICIENT_CORES;
            case NO_MEMORY -> RejectionReason.INSUFFICIENT_MEMORY;
            case OFFERS_WAIT -> RejectionReason.QUEUE_FULL;
            case NOT_HERE -> RejectionReason.UNAVAILABLE;
            case KEY_HELD -> RejectionReason.KEY_HELD;
            case DRAINING -> RejectionReason.DRAINING;
            default -> RejectionReason.NONE;
        };
    }

    static String result(RequestResult result) {
        return switch (result) {
            case PLACED -> "placed";
            case REJECTED -> "refused";
            case FAILED -> "failed";
        };
    }

    static String event(TerminationCause cause) {
        return switch (cause) {
            case COMPLETED -> "ended";
            case EVICTED -> "evicted";
            case LOST -> "lost";
            case MIGRATED -> "moved";
            case STOPPED -> "stopped";
        };
    }

    static String state(PendingReasons.State state) {
        return switch (state) {
            case WAITING -> "waiting";
            case PLACED -> "placed";
            case REJECTED -> "refused";
            case FAILED -> "failed";
            case FINISHED -> "over";
            case UNKNOWN -> "unknown";
        };
    }

    static Reason.Kind kind(PendingReasons.Kind kind) {
        return switch (kind) {
            case UNSATISFIABLE -> Reason.Kind.NO_FIT;
            case NO_CAPACITY -> Reason.Kind.NO_ROOM;
            case REJECTED -> Reason.Kind.REFUSED;
            case MACHINES_EJECTED -> Reason.Kind.OUT_OF_TRUST;
            case KEY_HELD -> Reason.Kind.KEY_HELD;
            case DRAINING -> Reason.Kind.DRAINING;
            case SPREAD_LIMIT -> Reason.Kind.SPREAD;
            case WARMING_UP -> Reason.Kind.COLD;
            case NO_MACHINES -> Reason.Kind.NO_NODES;
            case OWNER_QUOTA -> Reason.Kind.OWN_LIMIT;
            case TENANT_QUOTA -> Reason.Kind.TENANT_LIMIT;
            case FAIR_SHARE -> Reason.Kind.TENANT_SHARE;
            case OVERLOADED -> Reason.Kind.OVERLOADED;
            case CAPACITY_RESERVED -> Reason.Kind.GATHERING;
            case INDETERMINATE -> Reason.Kind.PROOF;
            case AWAITING_RESPONSE -> Reason.Kind.ANSWER;
            case QUEUED -> Reason.Kind.TURN;
        };
    }
}
