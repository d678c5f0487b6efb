package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.placement.Placement.Action;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.ClientDisconnected;
import thornferry.decisions.placement.Placement.Event;
import thornferry.decisions.placement.Placement.Fail;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineListUpdated;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.PlacementRequested;
import thornferry.decisions.placement.Placement.Reject;
import thornferry.decisions.placement.Placement.Settings;
import thornferry.decisions.placement.Placement.TaskAdopted;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.placement.Placement.TopologyScope;

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
        PlacementRequest ask;
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
        if (event instanceof MachineListUpdated list && list.kind() != ListUpdateKind.FAILED) {
            if (list.kind() != ListUpdateKind.DELTA) {
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
        } else if (event instanceof PlacementRequested asked) {
            take(now, asked.request());
        } else if (event instanceof TaskAdopted running) {
            Owed t = take(now, running.request());
            t.answered = true;
            t.out = true;
            t.at = running.machine();
            t.attempts = 1;
        } else if (event instanceof AttemptAccepted placed) {
            tasks.get(placed.requestId()).answered = true;
        } else if (event instanceof AttemptEnded ended) {
            Owed t = tasks.get(ended.requestId());
            t.out = false;
            t.answered |= ended.settled();
            if (!ended.outcome().neverRan && t.mayHaveRunAt == null) {
                t.mayHaveRunAt = t.at;
                t.mayHaveRunFrom = t.sent;
            }
        } else if (event instanceof ClientDisconnected left
                && tasks.containsKey(left.requestId())) {
            tasks.get(left.requestId()).answered = true;
        }
    }

    private Owed take(long now, PlacementRequest ask) {
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
            if (!t.answered
                    && now
                            > t.asked
                                    + t.ask.maxWaitMicros()
                                    + settings.rules().answerGraceMicros()) {
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
            offered(now, offer, tasks.get(offer.requestId()));
        } else if (action instanceof Reject refuse) {
            Owed t = tasks.get(refuse.requestId());
            boolean harmless =
                    t.cls.idempotency() == Idempotency.IDEMPOTENT
                            || t.mayHaveRunAt == null && !t.out
                            || t.cls.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                    && t.cls.keyScope() == TopologyScope.ALL;
            if (!harmless) {
                breaks(2, now, t.ask.id() + " is refused though it may have run");
            }
            answer(now, t);
        } else if (action instanceof Fail fail) {
            answer(now, tasks.get(fail.requestId()));
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
            breaks(1, now, offer.requestId() + " is sent after its final answer");
        }
        if (t.out) {
            breaks(2, now, offer.requestId() + " has two attempts out");
        }
        if (t.mayHaveRunAt != null && t.cls.idempotency() == Idempotency.NON_IDEMPOTENT) {
            breaks(2, now, offer.requestId() + " may have run and is unsafe");
        }
        MachineEntry m = machines.get(offer.machine());
        if (t.mayHaveRunAt != null && t.cls.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
            boolean inside =
                    t.cls.keyScope() == TopologyScope.ALL
                            || machines.get(t.mayHaveRunAt).zone().equals(m.zone());
            if (!inside || now > t.mayHaveRunFrom + t.cls.keyWindowMicros()) {
                breaks(2, now, offer.requestId() + " is sent again outside its group or window");
            }
        }
        Long since = stopped.get(offer.machine());
        if (since != null && now > since + settings.rules().drainGraceMicros()) {
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
        long window = settings.rules().slowStartWindowMicros();
        long recent = to.stream().filter(at -> at > now - window).count();
        boolean cold =
                m.startedAtMicros() > 0
                        && now < m.startedAtMicros() + settings.rules().slowStartMicros();
        if (cold && recent * settings.instanceCount() > settings.rules().slowStartOffers()) {
            breaks(4, now, m.machine() + " gets more than this placer's share of its budget");
        }
    }

    private void spread(long now, Owed sent, MachineEntry m) {
        if (sent.cls.spreadScope() != TopologyScope.ZONE) {
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
        if (there > sent.cls.maxTasksPerScope()) {
            breaks(5, now, sent.ask.service() + " has " + there + " in zone " + m.zone());
        }
    }
}
