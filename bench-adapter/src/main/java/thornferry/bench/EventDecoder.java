package thornferry.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import thornferry.bench.WireColumns.Attempt;
import thornferry.bench.WireColumns.AttemptAcceptedColumns;
import thornferry.bench.WireColumns.AttemptEndedColumns;
import thornferry.bench.WireColumns.ClientDisconnectedColumns;
import thornferry.bench.WireColumns.HealthCheck;
import thornferry.bench.WireColumns.Observation;
import thornferry.bench.WireColumns.Request;
import thornferry.bench.WireColumns.Timer;
import thornferry.bench.WireRow.Column;
import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.ClientDisconnected;
import thornferry.decisions.placement.Placement.Event;
import thornferry.decisions.placement.Placement.HealthCheckCompleted;
import thornferry.decisions.placement.Placement.ObservationKind;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.PlacementRequested;
import thornferry.decisions.placement.Placement.TaskAdopted;
import thornferry.decisions.placement.Placement.TaskObserved;
import thornferry.decisions.placement.Placement.TimerFired;
import thornferry.settings.LoadReportFields;

/** Decodes the simulator's messages into events of placement modules. */
final class EventDecoder {
    private static final String OK = "OK";

    private static final Map<String, AttemptOutcome> OUTCOMES =
            Map.of(
                    OK,
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

    /** The reasons, each at the index that is its code in the simulator's protocol. */
    private static final List<OutcomeReason> REASONS =
            List.of(
                    OutcomeReason.NONE,
                    OutcomeReason.INSUFFICIENT_CORES,
                    OutcomeReason.INSUFFICIENT_MEMORY,
                    OutcomeReason.QUEUE_FULL,
                    OutcomeReason.UNAVAILABLE,
                    OutcomeReason.EVICTED,
                    OutcomeReason.PREEMPTED,
                    OutcomeReason.EVACUATED);

    /**
     * The kinds of observations, each at the index that is its code in the simulator's protocol
     * minus {@link #FIRST_OBSERVATION_CODE}.
     */
    private static final List<ObservationKind> OBSERVATION_KINDS =
            List.of(
                    ObservationKind.RUNNING,
                    ObservationKind.CORES_USED,
                    ObservationKind.MEMORY_USED,
                    ObservationKind.SERVED,
                    ObservationKind.MACHINE_MEMORY);

    private static final int FIRST_OBSERVATION_CODE = 1;

    /** The bit of a request's options that is set if the task was requested before. */
    private static final long RETRY_OPTION = 16;

    private final MachineListDecoder machineLists;

    /**
     * @param machineLists stores the lists that list updates refer to
     */
    EventDecoder(MachineListDecoder machineLists) {
        this.machineLists = machineLists;
    }

    /**
     * Decodes a message that the simulator sent to an instance.
     *
     * @param reportFields the fields of the instance's load reports
     * @return the event; empty if the message has no meaning for the module
     */
    Optional<Event> decode(MessageType type, WireRow row, LoadReportFields reportFields)
            throws WireException {
        return switch (type) {
            case LIST_UPDATE -> Optional.of(machineLists.update(row));
            case PLACEMENT_REQUESTED -> Optional.of(new PlacementRequested(request(row)));
            case TASK_ADOPTED ->
                    Optional.of(new TaskAdopted(request(row), row.text(Request.MACHINE)));
            case ATTEMPT_ACCEPTED -> Optional.of(attemptAccepted(row));
            case ATTEMPT_ENDED -> Optional.of(attemptEnded(row, reportFields));
            case TASK_OBSERVED -> observation(row);
            case HEALTH_CHECK_COMPLETED -> Optional.of(healthCheck(row, reportFields));
            case CLIENT_DISCONNECTED ->
                    Optional.of(
                            new ClientDisconnected(row.text(ClientDisconnectedColumns.REQUEST_ID)));
            case TIMER_FIRED -> Optional.of(new TimerFired(row.integer(Timer.REFERENCE)));
            case GOSSIP -> Optional.empty();
            case BATCH_START, BATCH_END, CONFIGURE, DESTROY, MACHINE_LIST ->
                    throw new IllegalArgumentException("not an event: " + type);
        };
    }

    private static PlacementRequest request(WireRow row) throws WireException {
        JsonNode tenant = row.value(Request.TENANT);
        return new PlacementRequest(
                row.text(Request.REQUEST_ID),
                row.text(Request.TASK_CLASS),
                tenant.isTextual() ? tenant.textValue() : null,
                row.textOr(Request.TASK, ""),
                row.integer(Request.MAX_WAIT_MICROS),
                row.integerOr(Request.EXPECTED_RUN_MICROS, 0),
                row.textOr(Request.SERVICE, ""),
                row.numberOr(Request.CORES, 0),
                row.numberOr(Request.MEMORY, 0),
                (row.integerOr(Request.OPTIONS, 0) & RETRY_OPTION) != 0);
    }

    private static AttemptAccepted attemptAccepted(WireRow row) throws WireException {
        return new AttemptAccepted(
                row.text(Attempt.REQUEST_ID),
                (int) row.integer(Attempt.ATTEMPT),
                row.text(Attempt.MACHINE),
                row.integerOr(AttemptAcceptedColumns.WAITED_MICROS, 0));
    }

    private static AttemptEnded attemptEnded(WireRow row, LoadReportFields reportFields)
            throws WireException {
        return new AttemptEnded(
                row.text(Attempt.REQUEST_ID),
                (int) row.integer(Attempt.ATTEMPT),
                row.text(Attempt.MACHINE),
                row.choice(AttemptEndedColumns.OUTCOME, OUTCOMES),
                row.integerOr(AttemptEndedColumns.WAITED_MICROS, 0),
                row.flag(AttemptEndedColumns.SETTLED),
                reason(row.integerOr(AttemptEndedColumns.REASON, 0)),
                loadReport(row, AttemptEndedColumns.LOAD_REPORT, reportFields));
    }

    private static OutcomeReason reason(long code) {
        boolean isKnown = code >= 0 && code < REASONS.size();
        return isKnown ? REASONS.get((int) code) : OutcomeReason.NONE;
    }

    /** Returns the observation; empty if this version does not know its kind. */
    private static Optional<Event> observation(WireRow row) throws WireException {
        long index = row.integer(Observation.KIND) - FIRST_OBSERVATION_CODE;
        if (index < 0 || index >= OBSERVATION_KINDS.size()) {
            return Optional.empty();
        }
        return Optional.of(
                new TaskObserved(
                        row.text(Attempt.REQUEST_ID),
                        (int) row.integer(Attempt.ATTEMPT),
                        row.text(Attempt.MACHINE),
                        OBSERVATION_KINDS.get((int) index),
                        row.numberOr(Observation.VALUE, 0)));
    }

    private static HealthCheckCompleted healthCheck(WireRow row, LoadReportFields reportFields)
            throws WireException {
        return new HealthCheckCompleted(
                row.text(HealthCheck.MACHINE),
                row.text(HealthCheck.OUTCOME).equals(OK),
                row.integerOr(HealthCheck.WAITED_MICROS, 0),
                loadReport(row, HealthCheck.LOAD_REPORT, reportFields));
    }

    /** Returns the load report, or null, as in the events, if the message has none. */
    private static LoadReport loadReport(WireRow row, Column column, LoadReportFields fields)
            throws WireException {
        JsonNode values = row.value(column);
        if (values.isNull() || values.isMissingNode()) {
            return null;
        }
        if (!values.isArray()) {
            throw row.error(column, "not an array");
        }
        double[] numbers = new double[values.size()];
        for (int i = 0; i < numbers.length; i++) {
            JsonNode value = values.get(i);
            numbers[i] = value.isNumber() ? value.doubleValue() : LoadReport.UNKNOWN;
        }
        return fields.fromArray(numbers);
    }
}
