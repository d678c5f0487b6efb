package thornferry.testbed.audit;

import java.util.List;

/** What one row of a capture says. */
sealed interface CaptureEvent {
    /**
     * The first row.
     *
     * @param rules the limits
     * @param taskClasses all classes of tasks
     * @param resultsSurviveKill whether results of non-idempotent tasks outlast a killed placer
     */
    record SiteDeclared(AuditRules rules, List<TaskClass> taskClasses, boolean resultsSurviveKill)
            implements CaptureEvent {}

    record ConnectionOpened(long connection, String placer) implements CaptureEvent {}

    record ConnectionClosed(long connection) implements CaptureEvent {}

    record PlacerKilled(String placer) implements CaptureEvent {}

    record PlacerPaused(String placer, long untilMicros) implements CaptureEvent {}

    /** The proxy itself held back until then what the placer sent on a connection. */
    record ReaderSlowed(long connection, long untilMicros) implements CaptureEvent {}

    /** A mark on which no rule depends. */
    record OtherMark() implements CaptureEvent {}

    record FrameRecorded(long connection, FrameEvent frame) implements CaptureEvent {}

    /** A kind of row that the auditor does not know. */
    record UnknownRow(String kind) implements CaptureEvent {}
}
