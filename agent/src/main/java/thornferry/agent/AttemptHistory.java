package thornferry.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Effect;
import thornferry.protocol.v1.Register;

/**
 * What a node remembers, for one placer, of attempts that are over there: so that a placer that was
 * killed learns what ran, and above all so that what the node does <i>not</i> name is known never
 * to have been accepted. Where it must forget, it says since when it remembers all. No I/O and no
 * clock; times are microseconds.
 */
final class AttemptHistory {
    /** Final answers of every kind are said again for so long, since some may not have arrived. */
    private static final long SAID_AGAIN = 30_000_000;

    private static final int SAID_AGAIN_MOST = 2_000;

    /** Attempts remembered of one effect; the oldest are forgotten first. */
    static final int MOST = 20_000;

    /**
     * Octets that a registration may hold of them: half of a usual frame, the rest is for the
     * inventory.
     */
    static final int MOST_OCTETS = 512 << 10;

    private record Entry(long at, Answer answer) {
        Answer told(long now) {
            return answer.toBuilder().setEndedMsAgo((now - at) / 1_000).build();
        }
    }

    private final ArrayDeque<Entry> passing = new ArrayDeque<>();
    private final Map<Effect, ArrayDeque<Entry>> kept = new EnumMap<>(Effect.class);
    private final Map<Effect, Long> forgot =
            new EnumMap<>(Effect.class); // when the last one forgotten had ended
    private long keepFor = SAID_AGAIN;

    /** The placer's wish. */
    void keepFor(long micros) {
        keepFor = Math.max(SAID_AGAIN, micros);
    }

    /** An attempt is over; {@code answer} names owner, task and effect. */
    void over(long now, Answer answer) {
        Effect effect = answer.getEffect();
        boolean harmful = effect == Effect.KEYED || effect == Effect.UNSAFE;
        if (harmful && answer.getKind() != Answer.Kind.REFUSED) {
            ArrayDeque<Entry> entries = kept.computeIfAbsent(effect, e -> new ArrayDeque<>());
            entries.add(new Entry(now, answer));
            if (entries.size() > MOST) {
                forgot.put(effect, entries.removeFirst().at());
            }
        } else {
            passing.add(new Entry(now, answer));
            if (passing.size() > SAID_AGAIN_MOST) {
                passing.removeFirst();
            }
        }
    }

    /** Tells it all, as far as it fits, newest before older. */
    void tell(long now, Register.Builder register) {
        passing.removeIf(e -> e.at() < now - SAID_AGAIN);
        passing.forEach(e -> register.addRecent(e.told(now)));
        int room = MOST_OCTETS;
        for (Effect effect : List.of(Effect.UNSAFE, Effect.KEYED)) {
            ArrayDeque<Entry> entries = kept.getOrDefault(effect, new ArrayDeque<>());
            while (!entries.isEmpty() && entries.peekFirst().at() < now - keepFor) {
                forgot.put(effect, entries.removeFirst().at());
            }
            long lacks = forgot.getOrDefault(effect, 0L);
            List<Answer> fitting = new ArrayList<>();
            for (Iterator<Entry> newest = entries.descendingIterator(); newest.hasNext(); ) {
                Entry e = newest.next();
                Answer told = e.told(now);
                room -= told.getSerializedSize() + 4;
                if (room < 0) {
                    lacks = e.at();
                    break;
                }
                fitting.add(told);
            }
            Collections.reverse(fitting);
            register.addAllRecent(fitting);
            long ago = lacks == 0 ? 0 : Math.max(1, (now - lacks) / 1_000);
            if (effect == Effect.UNSAFE) {
                register.setForgotUnsafeMs(ago);
            } else {
                register.setForgotKeyedMs(ago);
            }
        }
    }

    /** The node starts a new life: what it remembered was the former's. */
    void clear() {
        passing.clear();
        kept.clear();
        forgot.clear();
    }
}
