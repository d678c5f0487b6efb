package thornferry.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement.Action;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.Cancel;
import thornferry.decisions.placement.Placement.CheckHealth;
import thornferry.decisions.placement.Placement.ClientDisconnected;
import thornferry.decisions.placement.Placement.Event;
import thornferry.decisions.placement.Placement.Fail;
import thornferry.decisions.placement.Placement.FetchList;
import thornferry.decisions.placement.Placement.HealthCheckCompleted;
import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.Log;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.MachineListUpdated;
import thornferry.decisions.placement.Placement.MachineState;
import thornferry.decisions.placement.Placement.Migrate;
import thornferry.decisions.placement.Placement.ObservationKind;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.PlacementRequested;
import thornferry.decisions.placement.Placement.Reject;
import thornferry.decisions.placement.Placement.SetTimer;
import thornferry.decisions.placement.Placement.Settings;
import thornferry.decisions.placement.Placement.Subscribe;
import thornferry.decisions.placement.Placement.TaskAdopted;
import thornferry.decisions.placement.Placement.TaskObserved;
import thornferry.decisions.placement.Placement.TimerFired;
import thornferry.settings.LoadReportFields;
import thornferry.settings.SettingsException;
import thornferry.settings.SettingsReader;

/** Translates between the simulator's wire and the module's interface. */
final class WireCodec {
    static final ObjectMapper JSON = new ObjectMapper();
    static final Set<String> EVENTS =
            Set.of(
                    "configure",
                    "manifest",
                    "registry",
                    "pending",
                    "pingResult",
                    "destroy",
                    "whisper",
                    "standing",
                    "heartbeat",
                    "reportBack",
                    "placed",
                    "clientLeft",
                    "fired");

    private static final Map<String, AttemptOutcome> OUTCOMES =
            Map.of(
                    "OK",
                    AttemptOutcome.COMPLETED,
                    "INTERNAL",
                    AttemptOutcome.ERROR,
                    "RESOURCE_EXHAUSTED",
                    AttemptOutcome.REJECTED,
                    "DEADLINE_EXCEEDED",
                    AttemptOutcome.TIMED_OUT,
                    "UNAVAILABLE",
                    AttemptOutcome.UNREACHABLE,
                    "ABORTED",
                    AttemptOutcome.LOST,
                    "CANCELLED",
                    AttemptOutcome.CANCELLED,
                    "TOO_LATE",
                    AttemptOutcome.NOT_SENT);
    private static final long AGAIN_BIT = 16;

    private WireCodec() {}

    /** A line that cannot be what the wire's page describes; the message says what was wrong. */
    static final class WireException extends Exception {
        WireException(String message) {
            super(message);
        }
    }

    // ---- events ----

    static Event event(
            String name,
            JsonNode row,
            Map<Long, List<MachineEntry>> tables,
            LoadReportFields fields)
            throws WireException {
        switch (name) {
            case "registry":
                return machineList(row, tables);
            case "pending":
                return new PlacementRequested(ask(name, row));
            case "standing":
                return new TaskAdopted(ask(name, row), text(row, 12, "standing machine"));
            case "placed":
                return new AttemptAccepted(
                        text(row, 2, "placed xid"),
                        (int) integer(row, 3, "placed try"),
                        text(row, 4, "placed machine"),
                        integerOr(row, 5, 0, "placed waitTime"));
            case "reportBack":
                return new AttemptEnded(
                        text(row, 2, "reportBack xid"),
                        (int) integer(row, 3, "reportBack try"),
                        text(row, 4, "reportBack machine"),
                        chosen(OUTCOMES, row, 5, "reportBack code"),
                        integerOr(row, 6, 0, "reportBack waitTime"),
                        flag(row, 7, "reportBack settled"),
                        reason(integerOr(row, 8, 0, "reportBack note")),
                        report(row, 9, "reportBack metrics", fields));
            case "heartbeat":
                return note(row);
            case "pingResult":
                return new HealthCheckCompleted(
                        text(row, 4, "pingResult machine"),
                        text(row, 3, "pingResult code").equals("OK"),
                        integerOr(row, 2, 0, "pingResult waitTime"),
                        report(row, 5, "pingResult metrics", fields));
            case "clientLeft":
                return new ClientDisconnected(text(row, 2, "clientLeft xid"));
            case "fired":
                return new TimerFired(integer(row, 2, "fired ref"));
            default:
                return null; // a whisper: placers that share nothing have no use for it
        }
    }

    private static Event machineList(JsonNode row, Map<Long, List<MachineEntry>> tables)
            throws WireException {
        long how = integer(row, 4, "registry how");
        long version = integerOr(row, 2, 0, "registry generation");
        if (how == 2) {
            return new MachineListUpdated(version, ListUpdateKind.FAILED, List.of());
        }
        if (how != 0 && how != 1 && how != 4) {
            throw new WireException("registry how: unknown kind " + how);
        }
        long table = integer(row, 3, "registry table");
        List<MachineEntry> entries = tables.get(table);
        if (entries == null) {
            throw new WireException("registry: unknown list number " + table);
        }
        return new MachineListUpdated(
                version,
                how == 0
                        ? ListUpdateKind.CACHED
                        : how == 1 ? ListUpdateKind.FULL : ListUpdateKind.DELTA,
                entries);
    }

    static List<MachineEntry> entries(JsonNode row) throws WireException {
        JsonNode items = at(row, 2);
        if (!items.isArray()) {
            throw new WireException("manifest items: not an array");
        }
        List<MachineEntry> entries = new ArrayList<>(items.size());
        for (JsonNode item : items) {
            if (!item.isArray()) {
                throw new WireException("manifest items: an entry is not an array");
            }
            long state = integer(item, 5, "manifest stageState");
            if (state < 0 || state > 2) {
                throw new WireException("manifest stageState: unknown state " + state);
            }
            entries.add(
                    new MachineEntry(
                            text(item, 0, "manifest machine"),
                            textOr(item, 1, "", "manifest locality"),
                            textOr(item, 2, "", "manifest classOfHost"),
                            (int) integerOr(item, 4, 0, "manifest stripe"),
                            MachineState.values()[(int) state],
                            numberOr(item, 3, 0, "manifest coresFree"),
                            numberOr(item, 7, 0, "manifest freeMemory"),
                            numberOr(item, 6, 1, "manifest heft"),
                            integerOr(item, 8, 0, "manifest startTime")));
        }
        return entries;
    }

    private static PlacementRequest ask(String name, JsonNode row) throws WireException {
        JsonNode tenant = at(row, 4);
        return new PlacementRequest(
                text(row, 2, name + " xid"),
                text(row, 3, name + " kind"),
                tenant.isTextual() ? tenant.textValue() : null,
                textOr(row, 5, "", name + " instanceKey"),
                integer(row, 6, name + " grace"),
                integerOr(row, 7, 0, name + " lasts"),
                textOr(row, 8, "", name + " service"),
                numberOr(row, 9, 0, name + " cpus"),
                numberOr(row, 10, 0, name + " memory"),
                (integerOr(row, 11, 0, name + " opts") & AGAIN_BIT) != 0);
    }

    private static Event note(JsonNode row) throws WireException {
        long sort = integer(row, 5, "heartbeat sort");
        if (sort < 1 || sort > ObservationKind.values().length) {
            return null; // a kind of note that came after this version
        }
        return new TaskObserved(
                text(row, 2, "heartbeat xid"),
                (int) integer(row, 3, "heartbeat try"),
                text(row, 4, "heartbeat machine"),
                ObservationKind.values()[(int) sort - 1],
                numberOr(row, 6, 0, "heartbeat level"));
    }

    private static OutcomeReason reason(long code) {
        return code >= 0 && code < OutcomeReason.values().length
                ? OutcomeReason.values()[(int) code]
                : OutcomeReason.NONE;
    }

    private static LoadReport report(JsonNode row, int index, String what, LoadReportFields fields)
            throws WireException {
        JsonNode values = at(row, index);
        if (values.isNull() || values.isMissingNode()) {
            return null;
        }
        if (!values.isArray()) {
            throw new WireException(what + ": not an array");
        }
        double[] numbers = new double[values.size()];
        for (int i = 0; i < numbers.length; i++) {
            numbers[i] = values.get(i).isNumber() ? values.get(i).doubleValue() : Double.NaN;
        }
        return fields.fromArray(numbers);
    }

    // ---- settings ----

    static Settings settings(JsonNode row) throws WireException {
        long seed = integer(row, 2, "configure salt");
        if (!at(row, 3).isObject()) {
            throw new WireException("configure config: not an object");
        }
        try {
            return SettingsReader.read(at(row, 3), seed);
        } catch (SettingsException e) {
            throw new WireException("configure: " + e.getMessage());
        }
    }

    static LoadReportFields reportFields(JsonNode row) {
        return SettingsReader.loadReportFields(at(row, 3));
    }

    // ---- actions ----

    static void write(StringBuilder out, String placer, Action action) {
        if (action instanceof Offer a) {
            write(out, "propose", placer, a.requestId(), a.machine(), a.timeoutMicros());
        } else if (action instanceof SetTimer a) {
            write(out, "setTimer", placer, a.atMicros(), a.ref());
        } else if (action instanceof CheckHealth a) {
            write(out, "touch", placer, a.machine());
        } else if (action instanceof Reject a) {
            write(out, "turnAway", placer, a.requestId(), a.retryAfterMicros());
        } else if (action instanceof Fail a) {
            write(out, "reportFailure", placer, a.requestId());
        } else if (action instanceof Cancel a) {
            write(out, "undoSend", placer, a.requestId(), a.attempt());
        } else if (action instanceof Migrate a) {
            write(out, "reassign", placer, a.requestId());
        } else if (action instanceof Subscribe a) {
            write(out, "watch", placer, a.enabled());
        } else if (action instanceof FetchList) {
            write(out, "reload", placer);
        } else if (action instanceof Log a) {
            write(out, "noteDown", placer, a.message());
        } // Held asks for nothing, and the wire has no word for it
    }

    static void write(StringBuilder out, Object... values) {
        char before = '[';
        for (Object value : values) {
            out.append(before);
            before = ',';
            if (value instanceof String s) {
                try {
                    out.append(JSON.writeValueAsString(s));
                } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
                    throw new IllegalStateException(e);
                }
            } else {
                out.append(value);
            }
        }
        out.append("]\n");
    }

    // ---- values ----

    private static JsonNode at(JsonNode row, int index) {
        JsonNode node = row.get(index);
        return node == null ? MissingNode.getInstance() : node;
    }

    private static boolean absent(JsonNode node) {
        return node.isNull() || node.isMissingNode();
    }

    static long integer(JsonNode row, int index, String what) throws WireException {
        JsonNode node = at(row, index);
        if (!node.isIntegralNumber()) {
            throw new WireException(what + ": not a whole number");
        }
        return node.longValue();
    }

    static long integerOr(JsonNode row, int index, long instead, String what) throws WireException {
        return absent(at(row, index)) ? instead : integer(row, index, what);
    }

    private static double numberOr(JsonNode row, int index, double instead, String what)
            throws WireException {
        JsonNode node = at(row, index);
        if (absent(node)) {
            return instead;
        }
        if (!node.isNumber()) {
            throw new WireException(what + ": not a number");
        }
        return node.doubleValue();
    }

    static String text(JsonNode row, int index, String what) throws WireException {
        JsonNode node = at(row, index);
        if (!node.isTextual()) {
            throw new WireException(what + ": not a text");
        }
        return node.textValue();
    }

    private static String textOr(JsonNode row, int index, String instead, String what)
            throws WireException {
        return absent(at(row, index)) ? instead : text(row, index, what);
    }

    private static boolean flag(JsonNode row, int index, String what) throws WireException {
        JsonNode node = at(row, index);
        if (!absent(node) && !node.isBoolean()) {
            throw new WireException(what + ": not true or false");
        }
        return node.asBoolean();
    }

    private static <T> T chosen(Map<String, T> words, JsonNode row, int index, String what)
            throws WireException {
        T value = words.get(text(row, index, what));
        if (value == null) {
            throw new WireException(what + ": unknown word " + row.get(index).textValue());
        }
        return value;
    }
}
