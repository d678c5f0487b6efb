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
 * The finished attempts of one placer that a node reports when it registers. A placer that was
 * restarted learns from them which attempts ran, and concludes that an attempt which is <i>not</i>
 * reported was never accepted. That conclusion is only sound for the period in which no attempt was
 * dropped from the history, so the registration states for each effect how long ago the last
 * dropped attempt ended. No I/O and no clock; times are microseconds.
 */
final class AttemptHistory {
    /** Final answers of any kind are repeated this long, since some may have been lost. */
    private static final long REPEAT_MICROS = 30_000_000;

    private static final int MAX_REPEATED = 2_000;

    /** Attempts retained for one effect; the oldest are dropped first. */
    static final int MAX_RETAINED_PER_EFFECT = 20_000;

    /** Size of the retained attempts in a registration: half of a frame; the inventory follows. */
    static final int MAX_REGISTRATION_BYTES = 512 << 10;

    /** Bytes of tag and length for each attempt in the registration. */
    private static final int FIELD_OVERHEAD_BYTES = 4;

    private static final long NOTHING_DROPPED = 0;
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
     * @param droppedMicros end of the newest attempt that is missing, or {@link #NOTHING_DROPPED}
     * @param remainingBytes space left in the registration; negative if an attempt didn't fit
     */
    private record Selection(List<Answer> answers, long droppedMicros, int remainingBytes) {
        long droppedMillisAgo(long now) {
            return droppedMicros == NOTHING_DROPPED
                    ? 0
                    : Math.max(1, (now - droppedMicros) / MICROS_PER_MILLI);
        }
    }

    /** The attempts of one effect, in the order of their ends. */
    private static final class RetainedAttempts {
        private final ArrayDeque<Entry> entries = new ArrayDeque<>();
        private long droppedMicros = NOTHING_DROPPED;

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
            droppedMicros = NOTHING_DROPPED;
        }
    }

    private final ArrayDeque<Entry> repeated = new ArrayDeque<>();
    private final RetainedAttempts nonIdempotent = new RetainedAttempts();
    private final RetainedAttempts idempotentWithKey = new RetainedAttempts();
    private long retentionMicros = REPEAT_MICROS;

    /** Sets how long the placer wants attempts with harmful effects to be retained. */
    void retainFor(long micros) {
        retentionMicros = Math.max(REPEAT_MICROS, micros);
    }

    /** Adds a finished attempt; {@code answer} includes its owner, task and effect. */
    void add(long now, Answer answer) {
        Entry entry = new Entry(now, answer);
        boolean rejected = answer.getKind() == Answer.Kind.REFUSED;
        if (answer.getEffect() == Effect.UNSAFE && !rejected) {
            nonIdempotent.add(entry);
        } else if (answer.getEffect() == Effect.KEYED && !rejected) {
            idempotentWithKey.add(entry);
        } else {
            repeated.add(entry);
            if (repeated.size() > MAX_REPEATED) {
                repeated.removeFirst();
            }
        }
    }

    /** Adds the attempts that fit to a registration, the newest first if not all fit. */
    void addTo(long now, Register.Builder register) {
        repeated.removeIf(entry -> entry.endedAtMicros() < now - REPEAT_MICROS);
        repeated.forEach(entry -> register.addRecent(entry.withAge(now)));

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

    /** Forgets everything: the attempts belonged to a former incarnation of the node. */
    void clear() {
        repeated.clear();
        nonIdempotent.clear();
        idempotentWithKey.clear();
    }
}
