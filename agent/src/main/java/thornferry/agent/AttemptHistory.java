package thornferry.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Effect;
import thornferry.protocol.v1.Register;

/**
 * The finished attempts of one placer that a node reports when it registers. A restarted placer
 * learns from them which attempts ran, and concludes that an attempt which is <i>not</i> reported
 * was never accepted. That conclusion is valid only for the period in which no attempt was dropped
 * from the history, so the registration states for each effect how long ago the most recent dropped
 * attempt ended. The class does no I/O and reads no clock; times are microseconds.
 */
final class AttemptHistory {
    /** The period for which final answers of every kind are repeated, since some may be lost. */
    private static final long REPEAT_MICROS = 30_000_000;

    private static final int MAX_REPEATED = 2_000;

    /** The maximum number of attempts retained for one effect; the oldest are dropped first. */
    static final int MAX_RETAINED_PER_EFFECT = 20_000;

    /**
     * The maximum size of the retained attempts in a registration: half of the largest frame body;
     * the other half is for the inventory.
     */
    static final int MAX_REGISTRATION_BYTES = 512 << 10;

    /** The bytes of the field tag and length for each attempt in a registration. */
    private static final int FIELD_OVERHEAD_BYTES = 4;

    private static final long NONE_DROPPED = 0;
    private static final long MICROS_PER_MILLI = 1_000;

    private record Entry(long endedAtMicros, Answer answer) {
        Answer withAge(long now) {
            return answer.toBuilder()
                    .setEndedMsAgo((now - endedAtMicros) / MICROS_PER_MILLI)
                    .build();
        }
    }

    /**
     * The newest retained attempts that fit into a registration.
     *
     * @param answers oldest first
     * @param droppedMicros when the newest missing attempt ended, or {@link #NONE_DROPPED}
     * @param remainingBytes space left in the registration; negative if an attempt did not fit
     */
    private record Selection(List<Answer> answers, long droppedMicros, int remainingBytes) {
        long droppedMillisAgo(long now) {
            return droppedMicros == NONE_DROPPED
                    ? 0
                    : Math.max(1, (now - droppedMicros) / MICROS_PER_MILLI);
        }
    }

    /** The retained attempts of one effect, in the order in which they ended. */
    private static final class RetainedAttempts {
        private final ArrayDeque<Entry> entries = new ArrayDeque<>();
        private long droppedMicros = NONE_DROPPED;

        void add(Entry entry) {
            entries.add(entry);
            if (entries.size() > MAX_RETAINED_PER_EFFECT) {
                dropOldest();
            }
        }

        void dropEndedBefore(long micros) {
            while (!entries.isEmpty() && entries.peekFirst().endedAtMicros() < micros) {
                dropOldest();
            }
        }

        private void dropOldest() {
            droppedMicros = entries.removeFirst().endedAtMicros();
        }

        Selection select(long now, int maxBytes) {
            List<Answer> answers = new ArrayList<>();
            long missingMicros = droppedMicros;
            int remainingBytes = maxBytes;
            Iterator<Entry> newestFirst = entries.descendingIterator();
            while (newestFirst.hasNext()) {
                Entry entry = newestFirst.next();
                Answer answer = entry.withAge(now);
                remainingBytes -= answer.getSerializedSize() + FIELD_OVERHEAD_BYTES;
                if (remainingBytes < 0) {
                    missingMicros = entry.endedAtMicros();
                    break;
                }
                answers.add(answer);
            }
            Collections.reverse(answers);
            return new Selection(answers, missingMicros, remainingBytes);
        }

        void clear() {
            entries.clear();
            droppedMicros = NONE_DROPPED;
        }
    }

    private final ArrayDeque<Entry> repeatedAnswers = new ArrayDeque<>();
    private final RetainedAttempts nonIdempotent = new RetainedAttempts();
    private final RetainedAttempts idempotentWithKey = new RetainedAttempts();
    private long retentionMicros = REPEAT_MICROS;

    /** Sets how long non-idempotent and keyed attempts are retained unless they were rejected. */
    void retainFor(long requestedMicros) {
        retentionMicros = Math.max(REPEAT_MICROS, requestedMicros);
    }

    /** Adds the final answer of an attempt; the answer includes owner, task and effect. */
    void add(long now, Answer answer) {
        Entry entry = new Entry(now, answer);
        boolean rejected = answer.getKind() == Answer.Kind.REFUSED;
        if (answer.getEffect() == Effect.UNSAFE && !rejected) {
            nonIdempotent.add(entry);
        } else if (answer.getEffect() == Effect.KEYED && !rejected) {
            idempotentWithKey.add(entry);
        } else {
            repeatedAnswers.add(entry);
            if (repeatedAnswers.size() > MAX_REPEATED) {
                repeatedAnswers.removeFirst();
            }
        }
    }

    /** Adds the retained attempts to a registration; if not all of them fit, the newest ones. */
    void addTo(long now, Register.Builder register) {
        repeatedAnswers.removeIf(entry -> entry.endedAtMicros() < now - REPEAT_MICROS);
        repeatedAnswers.forEach(entry -> register.addRecent(entry.withAge(now)));

        nonIdempotent.dropEndedBefore(now - retentionMicros);
        Selection selectedNonIdempotent = nonIdempotent.select(now, MAX_REGISTRATION_BYTES);
        register.addAllRecent(selectedNonIdempotent.answers());
        register.setForgotUnsafeMs(selectedNonIdempotent.droppedMillisAgo(now));

        idempotentWithKey.dropEndedBefore(now - retentionMicros);
        Selection selectedWithKey =
                idempotentWithKey.select(now, selectedNonIdempotent.remainingBytes());
        register.addAllRecent(selectedWithKey.answers());
        register.setForgotKeyedMs(selectedWithKey.droppedMillisAgo(now));
    }

    /** Discards all attempts when a new incarnation of the node begins. */
    void clear() {
        repeatedAnswers.clear();
        nonIdempotent.clear();
        idempotentWithKey.clear();
    }
}
