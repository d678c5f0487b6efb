package thornferry.testbed.audit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thornferry.protocol.Destinations;

/**
 * Judges the five rules from a capture alone. It knows the protocol and nothing of the placer: what
 * a placer may have known at a moment is taken from the frames that had passed by then.
 */
public final class TraceAuditor {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * @param rule 1 to 5, or 0 where the capture itself cannot be read; @param line of the capture,
     *     from 1
     */
    public record Violation(int rule, long line, long atMicros, String description) {}

    /** What a capture held, for the reader to see that it was not an empty one. */
    public record Verdict(
            List<Violation> violations,
            long lines,
            long requests,
            long results,
            long offers,
            long starts) {
        public boolean isClean() {
            return violations.isEmpty();
        }
    }

    private record TaskClass(
            String name,
            String effect,
            String keyScope,
            long keyWindow,
            long deadline,
            String spread,
            int spreadMost) {}

    private static final class Link {
        String placer;
        String login;
        String node; // once it has registered
        boolean results; // subscribed to
        boolean ended; // the placer sent an ERROR: what its peer says after that it does not read
        long slowUntil; // the relay itself held frames back until then
        long since; // of that subscription
        final Map<String, String> asked = new HashMap<>(); // receipt -> task
    }

    private static final class Attempt {
        final String id;
        final String node;
        final long at;
        final long link;
        boolean never; // proven never to have run
        boolean over; // the placer has had an outcome, or gave it up
        boolean accepted;
        long acceptedAt;
        boolean settled; // refused, withdrawn or ended: an inventory without it proves nothing more

        Attempt(String id, String node, long at, long link) {
            this.id = id;
            this.node = node;
            this.at = at;
            this.link = link;
        }
    }

    /** One task as one placer's owner asked for it. */
    private static final class Task {
        final String placer;
        final String owner;
        final String id;
        final TaskClass cls;
        String service = "";
        String key = "";
        int asks;
        int results;
        boolean waits; // an ask is taken and has no result
        long due;
        long askLine;
        boolean taken; // the receipt of the present ask has passed
        long patience;
        long link; // of the latest ask
        String result = "";
        long answeredAt;
        String event = "";
        final List<Attempt> chain = new ArrayList<>(); // of the present ask

        Task(String placer, String owner, String id, TaskClass cls) {
            this.placer = placer;
            this.owner = owner;
            this.id = id;
            this.cls = cls;
        }

        String name() {
            return "task " + id + " of " + owner + " at " + placer;
        }
    }

    private static final class Node {
        String zone = "";
        int cell;
        long incarnation = Long.MIN_VALUE;
        long startedAt;
        final List<Long> coldOffers = new ArrayList<>();
    }

    /**
     * Two attempts of one task seen out at once: a breach, unless either is given up within the
     * slack.
     */
    private record TwoOut(Attempt one, Attempt other, Violation breach) {}

    private record Started(String attempt, long at, String zone) {}

    /**
     * A result may be on its way this much longer than the rule's own grace; microseconds. And
     * frames on different connections have no order among themselves within it: a placer that gives
     * an attempt up and then offers the task elsewhere may be seen to do the two the other way
     * round.
     */
    private final long slack;

    private final List<Violation> violations = new ArrayList<>();
    private final Map<String, TaskClass> classes = new HashMap<>();
    private final Map<Long, Link> links = new HashMap<>();
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Map<String, Task> taskOf = new HashMap<>(); // by attempt
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<String, Long> draining = new HashMap<>(); // placer/node -> told at
    private final Map<String, Set<Attempt>> spread =
            new HashMap<>(); // placer/service -> live attempts
    private final Map<String, Started> unsafeStarts = new HashMap<>(); // owner/task
    private final Map<String, List<Started>> keyedStarts = new HashMap<>(); // class/key
    private final Map<String, String> news =
            new HashMap<>(); // by placer/message-id, as one may go to several sessions
    private final Set<String> ran = new HashSet<>(); // attempts seen to run
    private final List<TwoOut> unlessGivenUp = new ArrayList<>();
    private final Map<String, Long> pausedUntil =
            new HashMap<>(); // by placer: the script stood it still
    private final Map<String, String> promised =
            new HashMap<>(); // placer/owner/task -> result, over kills
    private boolean lasting;
    private JsonNode rules;
    private long line;
    private long now;
    private long asks;
    private long resultCount;
    private long offers;
    private long starts;

    private TraceAuditor(long slack) {
        this.slack = slack;
    }

    /**
     * @param slack how much later than the rule's own grace a result may be recorded; microseconds
     */
    public static Verdict audit(Path capture, long slack) throws IOException {
        TraceAuditor auditor = new TraceAuditor(slack);
        try (BufferedReader in = Files.newBufferedReader(capture)) {
            for (String text = in.readLine(); text != null; text = in.readLine()) {
                auditor.line++;
                auditor.take(text);
            }
        }
        return auditor.end();
    }

    private void take(String text) {
        JsonNode row;
        try {
            row = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            breach(0, "not JSON: " + e.getOriginalMessage());
            return;
        }
        now = row.path("t").asLong();
        confirm(now - slack);
        if (rules == null && !row.path("k").asText().equals("site")) {
            breach(0, "the capture must begin with its site");
            rules = JSON.createObjectNode();
        }
        switch (row.path("k").asText()) {
            case "site" -> site(row);
            case "open" -> {
                Link link = new Link();
                link.placer = row.path("placer").asText();
                links.put(row.path("link").asLong(), link);
            }
            case "close" -> closed(row.path("link").asLong());
            case "mark" -> {
                if (row.path("what").asText().equals("placer-killed")) {
                    killed(row.path("placer").asText());
                } else if (row.path("what").asText().equals("placer-paused")) {
                    pausedUntil.put(row.path("placer").asText(), row.path("until").asLong());
                } else if (row.path("what").asText().equals("slow-reader")) {
                    links.getOrDefault(row.path("link").asLong(), new Link()).slowUntil =
                            row.path("until").asLong();
                }
            }
            case "frame" -> frame(row);
            default -> breach(0, "unknown line " + row.path("k").asText());
        }
    }

    /** Breaches that nothing has excused by this time stand. */
    private void confirm(long before) {
        unlessGivenUp.removeIf(
                two -> two.breach().atMicros() < before && violations.add(two.breach()));
    }

    private void givenUp(Attempt a) {
        unlessGivenUp.removeIf(two -> two.one() == a || two.other() == a);
        over(a);
    }

    private void breach(int rule, String what) {
        violations.add(new Violation(rule, line, now, what));
    }

    private void site(JsonNode row) {
        rules = row.path("rules");
        lasting = row.path("lasting").asBoolean();
        row.path("classes")
                .forEach(
                        c ->
                                classes.put(
                                        c.path("name").asText(),
                                        new TaskClass(
                                                c.path("name").asText(),
                                                c.path("effect").asText(),
                                                c.path("keyScope").asText(),
                                                c.path("keyWindow").asLong(),
                                                c.path("deadline").asLong(),
                                                c.path("spread").asText(),
                                                c.path("spreadMost").asInt())));
    }

    private void closed(long number) {
        Link link = links.remove(number);
        if (link != null) {
            brokenOff(link, number);
        }
    }

    private void brokenOff(Link link, long number) {
        if (link.node != null) {
            // the answer is broken off: an outcome that proves nothing. No withdrawal can be seen
            // any more, so whether
            // the placer waited for more proof than it must cannot either
            for (Attempt a : attempts.values()) {
                // an acceptance so late may lie unread in the placer's buffers
                if (a.link == number && (!a.accepted || a.acceptedAt > now - slack)) {
                    givenUp(a);
                }
            }
        }
    }

    /** A killed placer forgets what it held, and its clients must ask again. */
    private void killed(String placer) {
        tasks.values().removeIf(t -> t.placer.equals(placer));
        attempts.values().removeIf(a -> taskOf.get(a.id).placer.equals(placer));
        spread.keySet().removeIf(k -> k.startsWith(placer + "/"));
        draining.keySet().removeIf(k -> k.startsWith(placer + "/"));
        news.keySet().removeIf(r -> r.startsWith(placer + "/"));
    }

    private void frame(JsonNode row) {
        long number = row.path("link").asLong();
        Link link = links.get(number);
        if (link == null) {
            breach(0, "a frame on link " + number + ", which is not open");
            return;
        }
        JsonNode h = row.path("h");
        JsonNode body = row.path("b");
        String destination = h.path("destination").asText();
        boolean up = row.path("dir").asText().equals("up");
        switch (row.path("cmd").asText()) {
            case "CONNECT", "STOMP" -> link.login = h.path("login").asText();
            case "SUBSCRIBE" -> {
                if (destination.equals(Destinations.RESULTS)) {
                    link.results = true;
                    link.since = now;
                }
            }
            case "SEND" -> {
                switch (destination) {
                    case Destinations.TASKS -> asked(link, number, h, body);
                    case Destinations.REGISTER -> registered(link, number, body);
                    case Destinations.ANSWERS -> answered(link, body);
                    case Destinations.DRAIN -> {
                        if (body.path("on").asBoolean()) {
                            draining.putIfAbsent(
                                    link.placer + "/" + body.path("node").asText(), now);
                        } else {
                            draining.remove(link.placer + "/" + body.path("node").asText());
                        }
                    }
                    default -> {}
                }
            }
            case "RECEIPT" -> receipt(link, h.path("receipt-id").asText());
            case "ERROR" -> {
                link.ended = true;
                brokenOff(link, number);
                Task refusedAsk =
                        tasks.get(link.asked.getOrDefault(h.path("receipt-id").asText(), ""));
                if (refusedAsk != null && refusedAsk.asks == 1 && refusedAsk.results == 0) {
                    refusedAsk.waits = false; // not taken
                }
            }
            case "MESSAGE" -> {
                if (!up && destination.equals(Destinations.RESULTS)) {
                    told(link, h);
                } else if (!up && body.has("offer")) {
                    offered(
                            link,
                            number,
                            Destinations.nodeOfOffers(destination),
                            body.path("offer"));
                } else if (!up && body.has("withdraw")) {
                    Attempt a = attempts.get(body.path("withdraw").path("attempt").asText());
                    if (a != null) {
                        a.settled = true;
                        givenUp(a);
                    }
                }
            }
            default -> {}
        }
    }

    // ---- rule 1: one final answer in time ----
    private void asked(Link link, long number, JsonNode h, JsonNode body) {
        TaskClass cls = classes.get(body.path("taskClass").asText());
        if (cls == null) {
            return; // the placer must refuse it with an ERROR; no task comes of it
        }
        asks++;
        String id = body.path("id").asText();
        String name = link.placer + "/" + link.login + "/" + id;
        Task t = tasks.computeIfAbsent(name, n -> new Task(link.placer, link.login, id, cls));
        if (h.has("receipt")) {
            link.asked.put(h.path("receipt").asText(), name);
        }
        t.asks++;
        t.service = body.path("service").asText();
        t.key = body.path("key").asText();
        if (t.asks == 1 || t.result.equals("refused") || gone(t)) {
            t.waits = true;
            t.askLine = line;
            t.result = "";
            t.event = "";
            t.chain.clear();
            t.patience = patience(body, cls);
            // one that stands still takes it only afterwards
            t.due = Math.max(now, pausedUntil.getOrDefault(link.placer, 0L)) + t.patience;
            t.taken = false;
        } else if (t.waits && !links.containsKey(t.link)) {
            // its answer may have gone to the connection that broke, and harmless as it was, this
            // is a new ask
            t.patience = patience(body, cls);
            t.due = Math.max(t.due, now + t.patience);
            t.taken = false;
        }
        t.link = number;
    }

    private long patience(JsonNode body, TaskClass cls) {
        long patience =
                body.has("patienceMs") ? body.path("patienceMs").asLong() * 1_000 : cls.deadline();
        return Math.min(patience, rules.path("mostPatience").asLong(Long.MAX_VALUE / 4));
    }

    /**
     * The placer has taken the ask by now, so that patience counts from here: it may have stood
     * still before.
     */
    private void receipt(Link link, String receipt) {
        Task t = tasks.get(link.asked.getOrDefault(receipt, ""));
        if (t != null && t.waits && !t.taken) {
            t.taken = true;
            t.due = Math.max(t.due, now + t.patience);
        }
    }

    /**
     * Its place is gone, so that its owner may ask anew; not for one that must never start twice.
     */
    private static boolean gone(Task t) {
        return !t.cls.effect().equals("UNSAFE")
                && (t.event.equals("lost") || t.event.equals("evicted") || t.event.equals("moved"));
    }

    private void told(Link link, JsonNode h) {
        Task t = tasks.get(link.placer + "/" + link.login + "/" + h.path("task").asText());
        if (t == null) {
            if (!h.has("event")) {
                breach(
                        1,
                        "a result for task "
                                + h.path("task").asText()
                                + ", which "
                                + link.login
                                + " never asked for");
            }
            return;
        }
        String says =
                h.path("task").asText()
                        + " "
                        + h.path("result").asText()
                        + h.path("event").asText();
        String before = news.putIfAbsent(link.placer + "/" + h.path("message-id").asText(), says);
        if (before != null && !before.equals(says)) {
            breach(
                    1,
                    "message "
                            + h.path("message-id").asText()
                            + " says '"
                            + says
                            + "' to one session of "
                            + link.login
                            + " and '"
                            + before
                            + "' to another");
        }
        boolean seen = before != null;
        if (h.has("repeat") && h.has("result") && t.waits) {
            // the first telling went to a connection that broke: this is the one that its owner
            // gets
            t.waits = false;
            t.result = h.path("result").asText();
        }
        lasts(t, h.path("result").asText());
        if (h.has("repeat") || seen) {
            return;
        }
        if (h.has("event")) {
            t.event = h.path("event").asText();
            return;
        }
        resultCount++;
        t.results++;
        String result = h.path("result").asText();
        if (t.results > t.asks) {
            breach(1, t.name() + " has " + t.results + " results for " + t.asks + " asks");
        }
        long due =
                Math.max(
                        t.due,
                        pausedUntil.getOrDefault(
                                link.placer, 0L)); // one that stood still could not answer
        long late = now - due - rules.path("answerGrace").asLong() - slack;
        if (t.waits && late > 0 && link.since < t.due && link.slowUntil + slack < now) {
            breach(1, t.name() + ": its result came " + late / 1_000 + " ms too late");
        }
        if (result.equals("refused") && !harmless(t)) {
            breach(
                    2,
                    t.name()
                            + " was refused, which says that trying again is harmless, but an"
                            + " attempt may have run");
        }
        t.waits = false;
        t.result = result;
        t.answeredAt = now;
        t.chain.clear();
    }

    /**
     * Where promises outlast a kill, an unsafe task's result after it is the one told before it.
     */
    private void lasts(Task t, String result) {
        if (lasting
                && t.cls.effect().equals("UNSAFE")
                && (result.equals("placed") || result.equals("failed"))) {
            String before = promised.putIfAbsent(t.placer + "/" + t.owner + "/" + t.id, result);
            if (before != null && !before.equals(result)) {
                breach(1, t.name() + " is told " + result + " after it was told " + before);
            }
        }
    }

    /** Where a later ask is on its way already, offers of this moment may be that one's. */
    private boolean harmless(Task t) {
        long before = t.asks > t.results ? now - slack : Long.MAX_VALUE;
        return t.cls.effect().equals("SAFE")
                || t.cls.effect().equals("KEYED") && t.cls.keyScope().equals("ALL")
                || t.chain.stream().allMatch(a -> a.never || a.at >= before);
    }

    // ---- rule 2: no effect twice; and what an offer means for the other rules ----
    private void offered(Link link, long number, String node, JsonNode offer) {
        offers++;
        JsonNode task = offer.path("task");
        String id = offer.path("attempt").asText();
        Task t =
                tasks.get(
                        link.placer
                                + "/"
                                + offer.path("owner").asText()
                                + "/"
                                + task.path("id").asText());
        if (t == null) {
            breach(
                    1,
                    "task "
                            + task.path("id").asText()
                            + " is offered to "
                            + node
                            + " but nobody asked for it");
            return;
        }
        boolean askedMeanwhile = t.asks > t.results && (t.result.equals("refused") || gone(t));
        // frames of two connections have no order within the slack: an offer just before the result
        // may pass after it
        if (!t.waits && !askedMeanwhile && now - t.answeredAt > slack) {
            breach(1, t.name() + " is offered to " + node + " after its result " + t.result);
        }
        Attempt a = new Attempt(id, node, now, number);
        for (Attempt earlier : t.chain) {
            if (!earlier.over) {
                unlessGivenUp.add(
                        new TwoOut(
                                earlier,
                                a,
                                new Violation(
                                        2,
                                        line,
                                        now,
                                        t.name()
                                                + " is offered to "
                                                + node
                                                + " while its attempt on "
                                                + earlier.node
                                                + " is out")));
            } else if (!earlier.never && t.cls.effect().equals("UNSAFE")) {
                breach(
                        2,
                        t.name()
                                + " is offered to "
                                + node
                                + " though it may have run on "
                                + earlier.node);
            } else if (!earlier.never && t.cls.effect().equals("KEYED")) {
                boolean group = sameGroup(t.cls.keyScope(), earlier.node, node);
                if (!group || now - earlier.at > t.cls.keyWindow()) {
                    breach(
                            2,
                            t.name()
                                    + " may have run on "
                                    + earlier.node
                                    + " and is offered to "
                                    + node
                                    + (group
                                            ? " after its key's window"
                                            : " outside the group that drops its repeats"));
                }
            }
        }
        t.chain.add(a);
        attempts.put(id, a);
        taskOf.put(id, t);
        drained(link, node, t);
        cold(node);
        spreads(link, node, t, a);
    }

    private boolean sameGroup(String scope, String a, String b) {
        Node x = nodes.getOrDefault(a, new Node());
        Node y = nodes.getOrDefault(b, new Node());
        return switch (scope) {
            case "ALL" -> true;
            case "ZONE" -> x.zone.equals(y.zone);
            case "CELL" -> x.cell == y.cell && x.zone.equals(y.zone);
            default -> a.equals(b);
        };
    }

    private void answered(Link link, JsonNode body) {
        Attempt a = attempts.get(body.path("attempt").asText());
        if (a == null) {
            return;
        }
        if (link.ended) {
            if (body.path("kind").asText().equals("RUNS")) {
                runs(a.id, a.node); // it did start, whoever heard of it
            }
            return;
        }
        switch (body.path("kind").asText()) {
            case "ACCEPTED" -> accepted(a);
            case "REFUSED" -> {
                a.settled = true;
                a.never = true;
                over(a);
            }
            case "WITHDRAWN" -> {
                a.never |= !a.accepted && !body.path("ran").asBoolean();
                over(a);
            }
            case "RUNS" -> {
                accepted(a);
                runs(a.id, a.node);
            }
            case "ENDED", "EVICTED", "SENT_AWAY" -> {
                a.accepted = true;
                a.settled = true;
                over(a);
            }
            default -> {}
        }
    }

    private void accepted(Attempt a) {
        a.acceptedAt = a.accepted ? a.acceptedAt : now;
        a.accepted = true;
    }

    private void over(Attempt a) {
        a.over = true;
        Task t = taskOf.get(a.id);
        Set<Attempt> live = spread.get(t.placer + "/" + t.service);
        if (live != null) {
            live.remove(a);
        }
    }

    private void runs(String attempt, String node) {
        Task t = taskOf.get(attempt);
        if (t == null || !ran.add(attempt)) {
            return;
        }
        starts++;
        String zone = nodes.getOrDefault(node, new Node()).zone;
        // by when it was sent, which is what a key's window counts from
        Attempt of = attempts.get(attempt);
        Started started = new Started(attempt, of == null ? now : of.at, zone);
        if (t.cls.effect().equals("UNSAFE")) {
            Started before = unsafeStarts.put(t.owner + "/" + t.id, started);
            if (before != null) {
                breach(2, t.name() + " started twice: " + before.attempt() + " and " + attempt);
            }
        } else if (t.cls.effect().equals("KEYED")) {
            List<Started> same =
                    keyedStarts.computeIfAbsent(t.cls.name() + "/" + t.key, k -> new ArrayList<>());
            for (Started s : same) {
                // the hall's memory began after the first was sent, and the second was looked at
                // before it ran
                if (s.zone().equals(zone) && now - s.at() < t.cls.keyWindow()) {
                    breach(2, "key " + t.key + " started twice in " + zone + " within its window");
                }
            }
            same.add(started);
        }
    }

    private void registered(Link link, long number, JsonNode body) {
        String name = body.path("node").asText();
        link.node = name;
        Node node = nodes.computeIfAbsent(name, n -> new Node());
        long incarnation = body.path("incarnation").asLong();
        boolean newLife = incarnation > node.incarnation && node.incarnation != Long.MIN_VALUE;
        if (incarnation > node.incarnation) {
            node.incarnation = incarnation;
            node.startedAt = now - body.path("uptimeMs").asLong() * 1_000;
            node.coldOffers.clear();
        }
        node.zone = body.path("zone").asText();
        node.cell = body.path("cell").asInt();
        Set<String> held = new HashSet<>();
        for (JsonNode each : body.path("held")) {
            held.add(each.path("attempt").asText());
            if (each.path("runs").asBoolean()) {
                runs(each.path("attempt").asText(), name);
            }
        }
        for (JsonNode each : body.path("recent")) {
            answered(link, each);
        }
        for (Attempt a : attempts.values()) {
            Task t = taskOf.get(a.id);
            if (!a.node.equals(name)
                    || a.settled
                    || a.link == number
                    || !t.placer.equals(link.placer)) {
                continue;
            }
            if (newLife) {
                over(a);
            } else if (!held.contains(a.id)) {
                a.never |= !a.accepted; // the same life, and it was never received
                over(a);
            } else {
                a.accepted = true;
            }
        }
    }

    // ---- rules 3, 4 and 5 ----
    private void drained(Link link, String node, Task t) {
        Long told = draining.get(link.placer + "/" + node);
        if (told != null && now - told > rules.path("drainGrace").asLong()) {
            breach(
                    3,
                    t.name()
                            + " is offered to "
                            + node
                            + ", which drains, "
                            + (now - told) / 1_000
                            + " ms after "
                            + link.placer
                            + " was told");
        }
    }

    private void cold(String name) {
        Node node = nodes.get(name);
        long ramp = rules.path("ramp").asLong();
        if (node == null || now >= node.startedAt + ramp) {
            return;
        }
        long window = rules.path("coldWindow").asLong();
        node.coldOffers.removeIf(at -> at <= now - window);
        node.coldOffers.add(now);
        double from = rules.path("coldFrom").asDouble();
        double pace =
                from + (1 - from) * Math.max(0, now - node.startedAt) / (double) Math.max(1, ramp);
        double bears =
                Math.max(
                        rules.path("coldOffers").asDouble(),
                        rules.path("coldMultiple").asDouble()
                                * pace
                                * rules.path("startsPerSecond").asDouble()
                                * window
                                / 1e6);
        if (node.coldOffers.size() > bears) {
            breach(
                    4,
                    name
                            + " is cold and was offered "
                            + node.coldOffers.size()
                            + " tasks within "
                            + window / 1_000
                            + " ms; it bears "
                            + (long) bears);
        }
    }

    private void spreads(Link link, String node, Task t, Attempt a) {
        if (t.cls.spread().equals("NONE") || t.cls.spread().isEmpty()) {
            return;
        }
        Set<Attempt> live =
                spread.computeIfAbsent(link.placer + "/" + t.service, s -> new HashSet<>());
        live.add(a);
        long there = live.stream().filter(x -> sameGroup(t.cls.spread(), x.node, node)).count();
        if (there > t.cls.spreadMost()) {
            breach(
                    5,
                    "service "
                            + t.service
                            + " has "
                            + there
                            + " tasks in the "
                            + t.cls.spread().toLowerCase()
                            + " of "
                            + node
                            + "; its class allows "
                            + t.cls.spreadMost());
        }
    }

    // ---- the end ----
    private Verdict end() {
        long lines = line;
        confirm(Long.MAX_VALUE);
        for (Task t : tasks.values()) {
            boolean listens =
                    links.values().stream()
                            .anyMatch(
                                    l ->
                                            l.results
                                                    && t.owner.equals(l.login)
                                                    && l.placer.equals(t.placer)
                                                    && l.since < Math.min(t.due, now - slack)
                                                    && l.slowUntil + slack < now);
            // without its receipt, an ask on a connection that broke may never have been read
            boolean taken = t.taken || links.containsKey(t.link);
            boolean past = now > t.due + rules.path("answerGrace").asLong() + slack;
            if (t.waits && taken && past && listens) {
                line = t.askLine;
                breach(1, t.name() + " never had a result, though its owner listened");
            }
        }
        return new Verdict(List.copyOf(violations), lines, asks, resultCount, offers, starts);
    }
}
