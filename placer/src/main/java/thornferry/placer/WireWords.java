package thornferry.placer;

import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.RequestResult;
import thornferry.protocol.v1.Effect;
import thornferry.protocol.v1.Reason;

/**
 * The words of the STOMP protocol for enumerated values. They never change; the constants' names
 * may.
 */
final class WireWords {
    private WireWords() {}

    static Effect effect(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> Effect.SAFE;
            case IDEMPOTENT_WITH_KEY -> Effect.KEYED;
            case NON_IDEMPOTENT -> Effect.UNSAFE;
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
