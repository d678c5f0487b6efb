package thornferry.testbed.audit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import thornferry.testbed.capture.CaptureFormat;

/**
 * Turns the lines of a capture into typed events. What a row lacks, or has in another type, is read
 * as empty, zero or false.
 */
final class CaptureReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * A row of a capture.
     *
     * @param atMicros time since the capture began
     * @param event what it says
     */
    record Row(long atMicros, CaptureEvent event) {}

    private CaptureReader() {}

    /**
     * @throws UnreadableRowException if the line is not JSON
     */
    static Row read(String line) throws UnreadableRowException {
        try {
            JsonNode row = JSON.readTree(line);
            return new Row(row.path(CaptureFormat.TIME).asLong(), event(row));
        } catch (JsonProcessingException e) {
            throw new UnreadableRowException(e);
        }
    }

    private static CaptureEvent event(JsonNode row) {
        String kind = row.path(CaptureFormat.ROW_KIND).asText();
        return switch (kind) {
            case CaptureFormat.SITE_ROW -> site(row);
            case CaptureFormat.OPEN_ROW ->
                    new CaptureEvent.ConnectionOpened(connection(row), placer(row));
            case CaptureFormat.CLOSE_ROW -> new CaptureEvent.ConnectionClosed(connection(row));
            case CaptureFormat.MARK_ROW -> mark(row);
            case CaptureFormat.FRAME_ROW ->
                    new CaptureEvent.FrameRecorded(connection(row), FrameReader.read(row));
            default -> new CaptureEvent.UnknownRow(kind);
        };
    }

    private static long connection(JsonNode row) {
        return row.path(CaptureFormat.CONNECTION).asLong();
    }

    private static String placer(JsonNode row) {
        return row.path(CaptureFormat.PLACER).asText();
    }

    private static CaptureEvent mark(JsonNode row) {
        long untilMicros = row.path(CaptureFormat.MARK_UNTIL).asLong();
        return switch (row.path(CaptureFormat.MARK_NAME).asText()) {
            case CaptureFormat.PLACER_KILLED -> new CaptureEvent.PlacerKilled(placer(row));
            case CaptureFormat.PLACER_PAUSED ->
                    new CaptureEvent.PlacerPaused(placer(row), untilMicros);
            case CaptureFormat.SLOW_READER ->
                    new CaptureEvent.ReaderSlowed(connection(row), untilMicros);
            default -> new CaptureEvent.OtherMark();
        };
    }

    private static CaptureEvent site(JsonNode row) {
        List<TaskClass> taskClasses = new ArrayList<>();
        row.path(CaptureFormat.TASK_CLASSES)
                .forEach(taskClass -> taskClasses.add(taskClass(taskClass)));
        return new CaptureEvent.SiteDeclared(
                rules(row.path(CaptureFormat.RULES)),
                List.copyOf(taskClasses),
                row.path(CaptureFormat.RESULTS_SURVIVE_KILL).asBoolean());
    }

    private static AuditRules rules(JsonNode rules) {
        return new AuditRules(
                rules.path(CaptureFormat.ANSWER_GRACE).asLong(),
                rules.path(CaptureFormat.DRAIN_GRACE).asLong(),
                rules.path(CaptureFormat.SLOW_START).asLong(),
                rules.path(CaptureFormat.SLOW_START_INITIAL_SHARE).asDouble(),
                rules.path(CaptureFormat.SLOW_START_MULTIPLE).asDouble(),
                rules.path(CaptureFormat.SLOW_START_WINDOW).asLong(),
                rules.path(CaptureFormat.SLOW_START_OFFERS).asDouble(),
                rules.path(CaptureFormat.MAX_WAIT).asLong(AuditRules.UNLIMITED_WAIT_MICROS),
                rules.path(CaptureFormat.STARTS_PER_SECOND).asDouble());
    }

    private static TaskClass taskClass(JsonNode taskClass) {
        return new TaskClass(
                taskClass.path(CaptureFormat.CLASS_NAME).asText(),
                idempotency(taskClass.path(CaptureFormat.CLASS_IDEMPOTENCY).asText()),
                nodeGroup(taskClass.path(CaptureFormat.CLASS_KEY_SCOPE).asText()),
                taskClass.path(CaptureFormat.CLASS_KEY_WINDOW).asLong(),
                taskClass.path(CaptureFormat.CLASS_DEADLINE).asLong(),
                spreadGroup(taskClass.path(CaptureFormat.CLASS_SPREAD_SCOPE).asText()),
                taskClass.path(CaptureFormat.CLASS_MAX_TASKS_PER_SCOPE).asInt());
    }

    private static Idempotency idempotency(String text) {
        return switch (text) {
            case CaptureFormat.IDEMPOTENT -> Idempotency.IDEMPOTENT;
            case CaptureFormat.IDEMPOTENT_WITH_KEY -> Idempotency.IDEMPOTENT_WITH_KEY;
            case CaptureFormat.NON_IDEMPOTENT -> Idempotency.NON_IDEMPOTENT;
            default -> Idempotency.UNKNOWN;
        };
    }

    private static Optional<NodeGroup> spreadGroup(String text) {
        if (text.isEmpty() || text.equals(CaptureFormat.SCOPE_NONE)) {
            return Optional.empty();
        }
        return Optional.of(nodeGroup(text));
    }

    private static NodeGroup nodeGroup(String text) {
        return switch (text) {
            case CaptureFormat.SCOPE_ALL -> NodeGroup.ALL;
            case CaptureFormat.SCOPE_ZONE -> NodeGroup.ZONE;
            case CaptureFormat.SCOPE_CELL -> NodeGroup.CELL;
            default -> NodeGroup.MACHINE;
        };
    }
}
