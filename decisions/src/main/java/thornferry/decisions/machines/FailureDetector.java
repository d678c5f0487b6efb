package thornferry.decisions.machines;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a machine with running tasks has failed, and when it has to be connected to again,
 * from the results of connection attempts, requests and received messages. A reset connection alone
 * is no evidence of a failure, because connections to live machines are reset as well. This class
 * performs no I/O and reads no clock; all times are microseconds.
 *
 * <p>A <em>contact</em> is an established connection or a received message. A contact clears all
 * failures recorded before it.
 *
 * <table>
 *   <caption>Rules</caption>
 *   <tr><th>method</th><th>condition</th><th>threshold</th><th>reaction of the caller</th></tr>
 *   <tr>
 *     <td>{@link #recordRefusal}</td>
 *     <td>time between the first and the latest refused connection, with no other connection open
 *         and no contact in between, is at least</td>
 *     <td>0.2 s</td>
 *     <td>the machine has failed: no process listens at its address</td>
 *   </tr>
 *   <tr>
 *     <td>{@link #isLost}</td>
 *     <td>a connection attempt has failed since the last contact, and the last contact is at least
 *         this old</td>
 *     <td>6 s</td>
 *     <td rowspan="2">the machine has failed, if no connection is open</td>
 *   </tr>
 *   <tr>
 *     <td></td>
 *     <td>and the first failed connection attempt since then, or the first request sent since then
 *         that timed out, is at least this old</td>
 *     <td>1 s</td>
 *   </tr>
 *   <tr>
 *     <td>{@link #isUnreachable}</td>
 *     <td>the first failed connection attempt since the last contact is at least this old</td>
 *     <td>2 s</td>
 *     <td>the machine has failed, if it is no longer in the endpoint list</td>
 *   </tr>
 *   <tr>
 *     <td>{@link #isSilent}</td>
 *     <td>the last contact is at least this old</td>
 *     <td>1 s</td>
 *     <td>a new connection is opened, if the machine is no longer in the endpoint list</td>
 *   </tr>
 *   <tr>
 *     <td>{@link #isSuspect}</td>
 *     <td>the first failed connection attempt since the last contact, or the first request sent
 *         since then that timed out, is at least this old</td>
 *     <td>1 s</td>
 *     <td>a new connection is opened, also if others are open</td>
 *   </tr>
 *   <tr>
 *     <td>{@link #isUnresponsive}</td>
 *     <td>a connection attempt has failed since the last contact, and the first failure, or the
 *         first request sent since then that timed out, is at least this old</td>
 *     <td>6.5 s</td>
 *     <td>the machine has failed, also if connections are open</td>
 *   </tr>
 *   <tr>
 *     <td>{@link #mayHaveMissedMessage}</td>
 *     <td>a connection was closed before everything on it was read, and none has been opened since
 *         </td>
 *     <td>at once</td>
 *     <td>a new connection is opened: a machine repeats the end of a task on the next connection
 *         that is opened, but not on those that are open already</td>
 *   </tr>
 * </table>
 */
public final class FailureDetector {
    /**
     * A single refusal may come from a process that is restarting; two refusals this far apart mean
     * that the machine has failed.
     */
    private static final long REFUSAL_THRESHOLD_MICROS = 200_000;

    /**
     * The tasks may have finished right after the last contact, and their clients must be notified
     * within 8 s of that.
     */
    private static final long LOST_THRESHOLD_MICROS = 6_000_000;

    /** Connection attempts fail occasionally; a single failure is not sufficient evidence. */
    private static final long LOST_MIN_FAILURE_AGE_MICROS = 1_000_000;

    /**
     * Connections to a machine that has vanished stay open. Longer than a partition of 6 s and the
     * time until a connection is established after it.
     */
    private static final long UNRESPONSIVE_THRESHOLD_MICROS = 6_500_000;

    /**
     * For a machine that is no longer listed, an open connection is not sufficient evidence that
     * the machine is alive.
     */
    private static final long SILENCE_THRESHOLD_MICROS = 1_000_000;

    private static final long UNREACHABLE_THRESHOLD_MICROS = 2_000_000;

    /** The time of a failure that has not occurred; later than any other time. */
    private static final long NEVER = Long.MAX_VALUE;

    /** The time of a missed message if there was none; earlier than any other time. */
    private static final long NOT_MISSED = Long.MIN_VALUE;

    /** The contact history of one machine. */
    private static final class ContactHistory {
        private long firstRefusalMicros = NEVER;
        private long firstConnectFailureMicros = NEVER;
        private long firstTimedOutRequestSentMicros = NEVER;
        private long lastMissedMessageMicros = NOT_MISSED;

        /** The time of the last contact, or 0 if there was none. */
        private long lastContactMicros;

        /** Returns the time of the first sign of a failure since the last contact. */
        private long firstFailureMicros() {
            return Math.min(firstConnectFailureMicros, firstTimedOutRequestSentMicros);
        }
    }

    private final Map<String, ContactHistory> histories = new HashMap<>(); // by machine id

    /**
     * Treats the given time as a contact with the machine, so that the timeouts start at that time.
     */
    public void assumeContact(String machine, long nowMicros) {
        history(machine).lastContactMicros = nowMicros;
    }

    /** Returns whether there was a contact with the machine, recorded or assumed. */
    public boolean hasContact(String machine) {
        ContactHistory history = histories.get(machine);
        return history != null && history.lastContactMicros > 0;
    }

    /** Returns the time of the last contact, recorded or assumed, or 0 if there was none. */
    public long lastContactMicros(String machine) {
        ContactHistory history = histories.get(machine);
        return history == null ? 0 : history.lastContactMicros;
    }

    /** Records a received message. */
    public void recordContact(String machine, long nowMicros) {
        ContactHistory history = history(machine);
        history.lastContactMicros = nowMicros;
        history.firstRefusalMicros = NEVER;
        history.firstConnectFailureMicros = NEVER;
        history.firstTimedOutRequestSentMicros = NEVER;
    }

    /**
     * Records that a connection was closed although the machine may have sent messages on it that
     * were not read.
     */
    public void recordMissedMessage(String machine, long nowMicros) {
        history(machine).lastMissedMessageMicros = nowMicros;
    }

    /**
     * Records an established connection, which is a contact.
     *
     * @param openedAtMicros when the connection attempt began
     */
    public void recordEstablished(String machine, long openedAtMicros, long nowMicros) {
        ContactHistory history = history(machine);
        if (openedAtMicros >= history.lastMissedMessageMicros) {
            history.lastMissedMessageMicros = NOT_MISSED;
        }
        recordContact(machine, nowMicros);
    }

    /**
     * Returns whether the machine may have sent a message on a connection that was closed before it
     * was read, and has not been connected to again since.
     */
    public boolean mayHaveMissedMessage(String machine) {
        ContactHistory history = histories.get(machine);
        return history != null && history.lastMissedMessageMicros != NOT_MISSED;
    }

    /** Records the timeout of an offer or health check that was sent at the given time. */
    public void recordRequestTimeout(String machine, long sentAtMicros) {
        ContactHistory history = history(machine);
        if (sentAtMicros > history.lastContactMicros) {
            history.firstTimedOutRequestSentMicros =
                    Math.min(history.firstTimedOutRequestSentMicros, sentAtMicros);
        }
    }

    /** Records a connection attempt that failed for any reason. */
    public void recordConnectFailure(String machine, long nowMicros) {
        ContactHistory history = history(machine);
        history.firstConnectFailureMicros = Math.min(history.firstConnectFailureMicros, nowMicros);
    }

    /**
     * Records a connection that was refused.
     *
     * @param connected whether another connection to the machine is open
     * @return whether the refusals show that the machine has failed
     */
    public boolean recordRefusal(String machine, long nowMicros, boolean connected) {
        ContactHistory history = history(machine);
        if (connected) {
            history.firstRefusalMicros = NEVER;
            return false;
        }
        history.firstRefusalMicros = Math.min(history.firstRefusalMicros, nowMicros);
        return nowMicros - history.firstRefusalMicros >= REFUSAL_THRESHOLD_MICROS;
    }

    /**
     * Returns whether there was no contact on any connection for {@link #SILENCE_THRESHOLD_MICROS}.
     */
    public boolean isSilent(String machine, long nowMicros) {
        ContactHistory history = histories.get(machine);
        return history != null && nowMicros - history.lastContactMicros >= SILENCE_THRESHOLD_MICROS;
    }

    /**
     * Returns whether connection attempts have failed for {@link #UNREACHABLE_THRESHOLD_MICROS},
     * with no contact since the first failure.
     */
    public boolean isUnreachable(String machine, long nowMicros) {
        ContactHistory history = histories.get(machine);
        return history != null
                && history.firstConnectFailureMicros != NEVER
                && nowMicros - history.firstConnectFailureMicros >= UNREACHABLE_THRESHOLD_MICROS;
    }

    /**
     * Returns whether the last contact is so long ago that the machine counts as failed. At least
     * one connection attempt must have failed, because a machine that has nothing to report sends
     * nothing, and its idle connections are closed.
     */
    public boolean isLost(String machine, long nowMicros) {
        ContactHistory history = histories.get(machine);
        if (history == null || history.firstConnectFailureMicros == NEVER) {
            return false;
        }
        return nowMicros - history.lastContactMicros >= LOST_THRESHOLD_MICROS
                && nowMicros - history.firstFailureMicros() >= LOST_MIN_FAILURE_AGE_MICROS;
    }

    /** Returns whether a request or connection attempt has failed, with no contact since. */
    public boolean isSuspect(String machine, long nowMicros) {
        ContactHistory history = histories.get(machine);
        return history != null
                && history.firstFailureMicros() != NEVER
                && nowMicros - history.firstFailureMicros() >= LOST_MIN_FAILURE_AGE_MICROS;
    }

    /**
     * Returns whether the machine has failed although connections to it are open. At least one
     * connection attempt must have failed, since a single request may remain unanswered.
     */
    public boolean isUnresponsive(String machine, long nowMicros) {
        ContactHistory history = histories.get(machine);
        return history != null
                && history.firstConnectFailureMicros != NEVER
                && nowMicros - history.firstFailureMicros() >= UNRESPONSIVE_THRESHOLD_MICROS;
    }

    /** Removes the contact history of the machine. */
    public void remove(String machine) {
        histories.remove(machine);
    }

    private ContactHistory history(String machine) {
        return histories.computeIfAbsent(machine, id -> new ContactHistory());
    }
}
