package thornferry.placer;

import com.google.protobuf.Message;
import io.netty.handler.codec.stomp.StompCommand;
import thornferry.protocol.Bodies;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.ServerSession;

/** Sends replies to queries, and assigns numbers to messages that clients do not acknowledge. */
final class ReplySender {
    /** The prefix of the message id of a reply; a unique number follows. */
    private static final String REPLY_ID_PREFIX = "a";

    private long lastNumber;

    /** Returns a number for the id of a message, unique in this instance. */
    long nextNumber() {
        return ++lastNumber;
    }

    /**
     * Replies on the connection of the query, to the destination that it names in {@code reply-to}.
     *
     * @throws ProtocolException if the connection is not subscribed to that destination
     */
    void reply(ServerSession session, Frame query, Message reply) throws ProtocolException {
        String destination = query.header("reply-to", "");
        if (!destination.startsWith(Destinations.REPLIES) || !session.subscribedTo(destination)) {
            throw new ProtocolException(
                    "reply-to must name a destination under "
                            + Destinations.REPLIES
                            + " that this connection is subscribed to");
        }
        Frame frame =
                Frame.of(StompCommand.MESSAGE, "correlation-id", query.header("correlation-id"));
        session.message(
                destination, REPLY_ID_PREFIX + nextNumber(), Bodies.write(frame, reply, false));
    }
}
