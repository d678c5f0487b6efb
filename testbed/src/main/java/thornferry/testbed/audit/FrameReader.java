package thornferry.testbed.audit;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import thornferry.protocol.Destinations;
import thornferry.testbed.capture.CaptureFormat;
import thornferry.testbed.capture.Direction;

/** Turns a frame's row of a capture into a typed event. */
final class FrameReader {
    private static final long MICROS_PER_MILLI = 1_000;

    private FrameReader() {}

    static FrameEvent read(JsonNode row) {
        JsonNode headers = row.path(CaptureFormat.HEADERS);
        JsonNode body = row.path(CaptureFormat.BODY);
        return switch (row.path(CaptureFormat.COMMAND).asText()) {
            case "CONNECT", "STOMP" -> new FrameEvent.LoggedIn(headers.path("login").asText());
            case "SUBSCRIBE" -> subscribed(headers);
            case "SEND" -> sent(headers, body);
            case "RECEIPT" -> new FrameEvent.ReceiptSent(receiptId(headers));
            case "ERROR" -> new FrameEvent.ErrorSent(receiptId(headers));
            case "MESSAGE" -> message(row, headers, body);
            default -> new FrameEvent.Other();
        };
    }

    private static String destination(JsonNode headers) {
        return headers.path("destination").asText();
    }

    private static String receiptId(JsonNode headers) {
        return headers.path("receipt-id").asText();
    }

    private static FrameEvent subscribed(JsonNode headers) {
        return destination(headers).equals(Destinations.RESULTS)
                ? new FrameEvent.ResultsSubscribed()
                : new FrameEvent.Other();
    }

    private static FrameEvent sent(JsonNode headers, JsonNode body) {
        return switch (destination(headers)) {
            case Destinations.TASKS -> taskRequested(headers, body);
            case Destinations.REGISTER -> nodeRegistered(body);
            case Destinations.ANSWERS -> new FrameEvent.AttemptReported(attemptReport(body));
            case Destinations.DRAIN ->
                    new FrameEvent.DrainRequested(
                            body.path("node").asText(),
                            body.path("on").asBoolean(),
                            text(headers, "receipt"));
            default -> new FrameEvent.Other();
        };
    }

    private static FrameEvent taskRequested(JsonNode headers, JsonNode body) {
        return new FrameEvent.TaskRequested(
                body.path("id").asText(),
                body.path("taskClass").asText(),
                body.path("service").asText(),
                body.path("key").asText(),
                body.has("patienceMs")
                        ? OptionalLong.of(body.path("patienceMs").asLong() * MICROS_PER_MILLI)
                        : OptionalLong.empty(),
                text(headers, "receipt"));
    }

    private static FrameEvent nodeRegistered(JsonNode body) {
        List<FrameEvent.HeldAttempt> held = new ArrayList<>();
        for (JsonNode attempt : body.path("held")) {
            held.add(
                    new FrameEvent.HeldAttempt(
                            attempt.path("attempt").asText(), attempt.path("runs").asBoolean()));
        }
        List<AttemptReport> recent = new ArrayList<>();
        for (JsonNode report : body.path("recent")) {
            recent.add(attemptReport(report));
        }
        return new FrameEvent.NodeRegistered(
                body.path("node").asText(),
                body.path("incarnation").asLong(),
                body.path("uptimeMs").asLong() * MICROS_PER_MILLI,
                body.path("zone").asText(),
                body.path("cell").asInt(),
                List.copyOf(held),
                List.copyOf(recent));
    }

    private static AttemptReport attemptReport(JsonNode body) {
        AttemptReport.Kind kind =
                switch (body.path("kind").asText()) {
                    case "ACCEPTED" -> AttemptReport.Kind.ACCEPTED;
                    case "REFUSED" -> AttemptReport.Kind.REJECTED;
                    case "RUNS" -> AttemptReport.Kind.RUNNING;
                    case "ENDED", "EVICTED", "SENT_AWAY" -> AttemptReport.Kind.ENDED;
                    case "WITHDRAWN" -> AttemptReport.Kind.WITHDRAWN;
                    default -> AttemptReport.Kind.OTHER;
                };
        return new AttemptReport(body.path("attempt").asText(), kind, body.path("ran").asBoolean());
    }

    private static FrameEvent message(JsonNode row, JsonNode headers, JsonNode body) {
        String direction = row.path(CaptureFormat.DIRECTION).asText();
        if (direction.equals(Direction.TO_PLACER.captureName())) {
            return new FrameEvent.Other();
        }
        if (destination(headers).equals(Destinations.RESULTS)) {
            return clientNotified(headers);
        }
        if (body.has("offer")) {
            return taskOffered(destination(headers), body.path("offer"));
        }
        if (body.has("withdraw")) {
            return new FrameEvent.OfferWithdrawn(body.path("withdraw").path("attempt").asText());
        }
        return new FrameEvent.Other();
    }

    private static FrameEvent clientNotified(JsonNode headers) {
        String taskId = headers.path("task").asText();
        String result = headers.path("result").asText();
        String event = headers.path("event").asText();
        return new FrameEvent.ClientNotified(
                taskId,
                headers.path("message-id").asText(),
                taskId + " " + result + event,
                text(headers, "result").map(RequestOutcome::ofProtocolName),
                text(headers, "event").map(FrameReader::taskEvent),
                headers.has("repeat"));
    }

    private static FrameEvent.TaskEvent taskEvent(String name) {
        return switch (name) {
            case "lost", "evicted", "moved" -> FrameEvent.TaskEvent.PLACE_LOST;
            default -> FrameEvent.TaskEvent.OTHER;
        };
    }

    private static FrameEvent taskOffered(String destination, JsonNode offer) {
        String node = Optional.ofNullable(Destinations.nodeOfOffers(destination)).orElse("");
        return new FrameEvent.TaskOffered(
                node,
                offer.path("attempt").asText(),
                offer.path("owner").asText(),
                offer.path("task").path("id").asText());
    }

    private static Optional<String> text(JsonNode headers, String name) {
        return headers.has(name) ? Optional.of(headers.path(name).asText()) : Optional.empty();
    }
}
