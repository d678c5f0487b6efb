package thornferry.app;

import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import thornferry.protocol.v1.Reason;
import thornferry.protocol.v1.Why;

/** Formats the state of a task and the history of its pending reasons as lines of text. */
final class WhyText {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneId.systemDefault());

    private WhyText() {}

    static List<String> lines(Why why) {
        List<String> lines = new ArrayList<>();
        lines.add("task " + why.getTask() + " " + state(why));
        why.getReason().getEvidenceList().forEach(evidence -> lines.add("  " + line(evidence)));
        if (why.getHistoryCount() > 0) {
            lines.add(
                    "asked for "
                            + why.getAsks()
                            + " times, offered "
                            + why.getAttempts()
                            + " times; so far:");
        }
        why.getHistoryList().forEach(change -> lines.add("  " + line(change)));
        return lines;
    }

    private static String state(Why why) {
        return why.hasReason() ? "waits: " + why.getReason().getSentence() : why.getState();
    }

    private static String line(Reason.Evidence evidence) {
        StringBuilder line = new StringBuilder(evidence.getWhat());
        if (!evidence.getName().isEmpty()) {
            line.append(' ').append(evidence.getName());
        }
        if (evidence.getNodes() > 0) {
            line.append(", nodes: ").append(evidence.getNodes());
        }
        if (evidence.hasNeeds()) {
            line.append(", ").append(evidence.getNeeds());
        }
        if (evidence.hasHas()) {
            line.append(", has ").append(evidence.getHas());
        }
        return line.toString();
    }

    private static String line(Why.Change change) {
        String time = TIME.format(Instant.ofEpochMilli(change.getAtMs()));
        String reason =
                change.hasReason() ? ": " + ReasonNames.of(change.getReason().getKind()) : "";
        return time + "  " + change.getState() + reason;
    }
}
