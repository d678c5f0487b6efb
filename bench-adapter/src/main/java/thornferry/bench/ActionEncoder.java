package thornferry.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import thornferry.decisions.placement.Placement.Action;
import thornferry.decisions.placement.Placement.Cancel;
import thornferry.decisions.placement.Placement.CheckHealth;
import thornferry.decisions.placement.Placement.Fail;
import thornferry.decisions.placement.Placement.FetchList;
import thornferry.decisions.placement.Placement.Log;
import thornferry.decisions.placement.Placement.Migrate;
import thornferry.decisions.placement.Placement.Offer;
import thornferry.decisions.placement.Placement.Reject;
import thornferry.decisions.placement.Placement.SetTimer;
import thornferry.decisions.placement.Placement.Subscribe;

/** Encodes actions of placement modules as the simulator's messages, one JSON array per line. */
final class ActionEncoder {
    private static final String OFFER = "propose";
    private static final String SET_TIMER = "setTimer";
    private static final String CHECK_HEALTH = "touch";
    private static final String REJECT = "turnAway";
    private static final String FAIL = "reportFailure";
    private static final String CANCEL = "undoSend";
    private static final String MIGRATE = "reassign";
    private static final String SUBSCRIBE = "watch";
    private static final String FETCH_LIST = "reload";
    private static final String LOG = "noteDown";
    private static final String MODULE_FAILED = "fatal";
    private static final String BATCH_DONE = "done";

    private static final ObjectMapper JSON = new ObjectMapper();

    private ActionEncoder() {}

    static void writeAction(StringBuilder out, String instance, Action action) {
        if (action instanceof Offer offer) {
            writeMessage(
                    out,
                    OFFER,
                    instance,
                    offer.requestId(),
                    offer.machine(),
                    offer.timeoutMicros());
        } else if (action instanceof SetTimer timer) {
            writeMessage(out, SET_TIMER, instance, timer.atMicros(), timer.ref());
        } else if (action instanceof CheckHealth check) {
            writeMessage(out, CHECK_HEALTH, instance, check.machine());
        } else if (action instanceof Reject reject) {
            writeMessage(out, REJECT, instance, reject.requestId(), reject.retryAfterMicros());
        } else if (action instanceof Fail fail) {
            writeMessage(out, FAIL, instance, fail.requestId());
        } else if (action instanceof Cancel cancel) {
            writeMessage(out, CANCEL, instance, cancel.requestId(), cancel.attempt());
        } else if (action instanceof Migrate migrate) {
            writeMessage(out, MIGRATE, instance, migrate.requestId());
        } else if (action instanceof Subscribe subscribe) {
            writeMessage(out, SUBSCRIBE, instance, subscribe.enabled());
        } else if (action instanceof FetchList) {
            writeMessage(out, FETCH_LIST, instance);
        } else if (action instanceof Log log) {
            writeMessage(out, LOG, instance, log.message());
        } // the simulator's protocol has no message for Pending
    }

    /** Writes the message that a module has thrown an exception. */
    static void writeFailure(StringBuilder out, String instance, RuntimeException failure) {
        writeMessage(out, MODULE_FAILED, instance, failure.toString());
    }

    /** Writes the message that ends the reply to a batch. */
    static void writeBatchDone(StringBuilder out, JsonNode batchNumber) {
        writeMessage(out, BATCH_DONE, batchNumber);
    }

    private static void writeMessage(StringBuilder out, Object... values) {
        String separator = "[";
        for (Object value : values) {
            out.append(separator);
            separator = ",";
            if (value instanceof String text) {
                appendText(out, text);
            } else {
                out.append(value);
            }
        }
        out.append("]\n");
    }

    private static void appendText(StringBuilder out, String text) {
        try {
            out.append(JSON.writeValueAsString(text));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
