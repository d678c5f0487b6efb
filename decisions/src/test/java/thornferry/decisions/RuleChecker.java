package thornferry.decisions;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.Placement.*;

/**
 * Watches events and actions of one instance and notes every broken rule; knows nothing of how it
 * decides.
 */
final class RuleChecker {
    final List<String> broken = new ArrayList<>();
    int offers;
    private final Settings settings;
    private final Map<String, Owed> tasks = new LinkedHashMap<>();
    private final Map<String, MachineEntry> machines = new LinkedHashMap<>();
    private final Map<String, Long> stopped = new LinkedHashMap<>();
    private final Map<String, List<Long>> sends = new LinkedHashMap<>();

    private static final class Owed {
        Ask ask;
        TaskClass cls;
        long asked;
        boolean answered;
        boolean out;
        int attempts;
        String at;
        long sent;
        String mayHaveRunAt;
        long mayHaveRunFrom;
    }

    RuleChecker(Settings settings) {
        this.settings = settings;
    }

    int attempts(String id) {
        return tasks.get(id).attempts;
    }

    boolean known(String machine) {
        return machines.containsKey(machine);
    }

    private void breaks(int rule, long now, String what) {
        broken.add("rule " + rule + " at " + now + ": " + what);
    }

    void event(long now, Event event) {
        late(now);
        if (event instanceof MachineList list && list.kind() != ListKind.FAILED) {
            if (list.kind() != ListKind.DELTA) {
                machines.keySet().forEach(id -> stopped.putIfAbsent(id, now));
            }
            for (MachineEntry e : list.entries()) {
                machines.put(e.machine(), e);
                if (e.state() == MachineState.READY) {
                    stopped.remove(e.machine());
                } else {
                    stopped.putIfAbsent(e.machine(), now);
                }
            }
        } else if (event instanceof Asked asked) {
            take(now, asked.ask());
        } else if (event instanceof Running running) {
            Owed t = take(now, running.ask());
            t.answered = true;
            t.out = true;
            t.at = running.machine();
            t.attempts = 1;
        } else if (event instanceof Placed placed) {
            tasks.get(placed.id()).answered = true;
        } else if (event instanceof Ended ended) {
            Owed t = tasks.get(ended.id());
            t.out = false;
            t.answered |= ended.settled();
            if (!ended.outcome().neverRan && t.mayHaveRunAt == null) {
                t.mayHaveRunAt = t.at;
                t.mayHaveRunFrom = t.sent;
            }
        } else if (event instanceof OwnerLeft left && tasks.containsKey(left.id())) {
            tasks.get(left.id()).answered = true;
        }
    }

    private Owed take(long now, Ask ask) {
        Owed t = new Owed();
        t.ask = ask;
        t.asked = now;
        t.cls =
                settings.classes().stream()
                        .filter(c -> c.name().equals(ask.taskClass()))
                        .findFirst()
                        .orElseThrow();
        tasks.put(ask.id(), t);
        return t;
    }

    private void late(long now) {
        for (Owed t : tasks.values()) {
            if (!t.answered && now > t.asked + t.ask.patience() + settings.rules().answerGrace()) {
                t.answered = true;
                breaks(1, now, t.ask.id() + " has no final answer in time");
            }
        }
    }

    void end(long now) {
        late(now);
    }

    void action(long now, Action action) {
        late(now);
        if (action instanceof Offer offer) {
            offers++;
            offered(now, offer, tasks.get(offer.id()));
        } else if (action instanceof Refuse refuse) {
            Owed t = tasks.get(refuse.id());
            boolean harmless =
                    t.cls.effect() == Effect.SAFE
                            || t.mayHaveRunAt == null && !t.out
                            || t.cls.effect() == Effect.KEYED && t.cls.keyScope() == Scope.ALL;
            if (!harmless) {
                breaks(2, now, t.ask.id() + " is refused though it may have run");
            }
            answer(now, t);
        } else if (action instanceof Fail fail) {
            answer(now, tasks.get(fail.id()));
        }
    }

    private void answer(long now, Owed t) {
        if (t.answered) {
            breaks(1, now, t.ask.id() + " is answered twice");
        }
        t.answered = true;
    }

    private void offered(long now, Offer offer, Owed t) {
        if (t.answered) {
            breaks(1, now, offer.id() + " is sent after its final answer");
        }
        if (t.out) {
            breaks(2, now, offer.id() + " has two attempts out");
        }
        if (t.mayHaveRunAt != null && t.cls.effect() == Effect.UNSAFE) {
            breaks(2, now, offer.id() + " may have run and is unsafe");
        }
        MachineEntry m = machines.get(offer.machine());
        if (t.mayHaveRunAt != null && t.cls.effect() == Effect.KEYED) {
            boolean inside =
                    t.cls.keyScope() == Scope.ALL
                            || machines.get(t.mayHaveRunAt).zone().equals(m.zone());
            if (!inside || now > t.mayHaveRunFrom + t.cls.keyWindow()) {
                breaks(2, now, offer.id() + " is sent again outside its group or window");
            }
        }
        Long since = stopped.get(offer.machine());
        if (since != null && now > since + settings.rules().drainGrace()) {
            breaks(3, now, offer.machine() + " drains or is gone");
        }
        cold(now, m);
        t.attempts++;
        t.out = true;
        t.at = offer.machine();
        t.sent = now;
        spread(now, t, m);
    }

    private void cold(long now, MachineEntry m) {
        List<Long> to = sends.computeIfAbsent(m.machine(), id -> new ArrayList<>());
        to.add(now);
        long window = settings.rules().coldWindow();
        long recent = to.stream().filter(at -> at > now - window).count();
        boolean cold = m.started() > 0 && now < m.started() + settings.rules().rampTime();
        if (cold && recent * settings.instances() > settings.rules().coldOffers()) {
            breaks(4, now, m.machine() + " gets more than this placer's share of its budget");
        }
    }

    private void spread(long now, Owed sent, MachineEntry m) {
        if (sent.cls.spread() != Scope.ZONE) {
            return;
        }
        long there =
                tasks.values().stream()
                        .filter(
                                t ->
                                        t.out
                                                && t.ask.service().equals(sent.ask.service())
                                                && machines.containsKey(t.at)
                                                && machines.get(t.at).zone().equals(m.zone()))
                        .count();
        if (there > sent.cls.spreadMost()) {
            breaks(5, now, sent.ask.service() + " has " + there + " in zone " + m.zone());
        }
    }
}
