package thornferry.placer;

import com.google.protobuf.Message;
import io.netty.handler.codec.stomp.StompCommand;
import thornferry.protocol.Bodies;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.ServerSession;

/** Sends replies to queries, and numbers the messages that are not acknowledged. */
final class ReplySender {
    private long lastNumber;

    /** A number for the id of a message, unique in this instance. */
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
        session.message(destination, "a" + nextNumber(), Bodies.write(frame, reply, false));
    }
}
