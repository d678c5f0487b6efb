package thornferry.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.stomp.StompCommand;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Exchanges frames with one session as text over an embedded channel, without a socket. */
class ServerSessionTest implements SessionHandler {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<String> events = new ArrayList<>();
    private ServerSession session;

    @BeforeEach
    void install() {
        ServerSession.install(
                channel, this, FrameLimits.DEFAULTS, new Heartbeat(1_000, 1_000), "s", 5_000);
    }

    @Override
    public void connecting(ServerSession s, String login, String passcode) {
        if ("slow".equals(login)) {
            session = s; // the test admits the login later
        } else if ("me".equals(login) && "secret".equals(passcode)) {
            s.admit(login);
        } else {
            s.fail("login or passcode not accepted", null);
        }
    }

    @Override
    public void sent(ServerSession s, String destination, Frame frame) throws ProtocolException {
        if (destination.equals("/bad")) {
            throw new ProtocolException("no such place", "look elsewhere");
        }
        events.add("sent " + destination + " " + frame.text());
    }

    @Override
    public void subscribed(ServerSession s, String id, String destination) {
        session = s;
        events.add("subscribed " + destination);
    }

    @Override
    public void unsubscribed(ServerSession s, String destination) {
        events.add("unsubscribed " + destination);
    }

    @Override
    public void acknowledged(ServerSession s, String messageId, boolean positive) {
        events.add((positive ? "ack " : "nack ") + messageId);
    }

    @Override
    public void closed(ServerSession s, String reason) {
        events.add("closed: " + reason);
    }

    /** Sends frames and returns the frames that the session has sent; ^ stands for NUL in both. */
    private String send(String text) {
        channel.writeInbound(
                Unpooled.copiedBuffer(text.replace('^', '\0'), StandardCharsets.UTF_8));
        return sentFrames();
    }

    private String sentFrames() {
        channel.runPendingTasks();
        StringBuilder out = new StringBuilder();
        for (ByteBuf buffer = channel.readOutbound();
                buffer != null;
                buffer = channel.readOutbound()) {
            out.append(buffer.toString(StandardCharsets.UTF_8));
            buffer.release();
        }
        return out.toString().replace('\0', '^');
    }

    private void connect() {
        assertThat(send("CONNECT\naccept-version:1.0,1.2\nhost:h\nlogin:me\npasscode:secret\n\n^"))
                .startsWith("CONNECTED\nversion:1.2\nheart-beat:1000,1000\n");
    }

    @Test
    void acceptsStompAndConnect() {
        assertThat(send("STOMP\naccept-version:1.2\nhost:h\nlogin:me\npasscode:secret\n\n^"))
                .startsWith("CONNECTED");
    }

    @Test
    void rejectsOtherVersionsNamingTheSupportedOne() {
        assertThat(send("CONNECT\naccept-version:1.0,1.1\nhost:h\n\n^"))
                .startsWith("ERROR")
                .contains("version:1.2");
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void rejectsWrongPasscodeAndFramesBeforeConnect() {
        assertThat(send("CONNECT\naccept-version:1.2\nlogin:me\npasscode:x\n\n^"))
                .contains("not accepted");
        EmbeddedChannel otherChannel = new EmbeddedChannel();
        ServerSession.install(otherChannel, this, FrameLimits.DEFAULTS, Heartbeat.NONE, "s", 5_000);
        otherChannel.writeInbound(
                Unpooled.copiedBuffer("SEND\ndestination:/q\n\n\0", StandardCharsets.UTF_8));
        assertThat(otherChannel.isOpen()).isFalse();
        assertThat(events).isEmpty();
    }

    @Test
    void defersFramesUntilLoginIsChecked() {
        channel.writeInbound(
                Unpooled.copiedBuffer(
                        "CONNECT\naccept-version:1.2\nlogin:slow\n\n\0SEND\ndestination:/q\n"
                                + "receipt:1\n\nearly\0",
                        StandardCharsets.UTF_8));
        assertThat(events).isEmpty();
        session.admit("slow");
        assertThat(sentFrames()).containsSubsequence("CONNECTED", "RECEIPT");
        assertThat(events).containsExactly("sent /q early");
    }

    @Test
    void sendsReceiptAfterFrameIsProcessed() {
        connect();
        assertThat(send("SEND\ndestination:/q\nreceipt:7\n\nhi^"))
                .isEqualTo("RECEIPT\nreceipt-id:7\n\n^");
        assertThat(events).containsExactly("sent /q hi");
    }

    @Test
    void errorCarriesReceiptIdAndClosesSession() {
        connect();
        String reply = send("SEND\ndestination:/bad\nreceipt:7\n\n^SEND\ndestination:/q\n\nlater^");
        assertThat(reply)
                .startsWith("ERROR\nmessage:no such place\nreceipt-id:7\n")
                .contains("look elsewhere");
        assertThat(channel.isOpen()).isFalse();
        assertThat(events).containsExactly("closed: no such place");
    }

    @Test
    void holdsTransactionUntilCommitAndDropsItOnAbort() {
        connect();
        send(
                "BEGIN\ntransaction:t\n\n^SEND\ntransaction:t\ndestination:/q\n\na^"
                        + "BEGIN\ntransaction:u\n\n^SEND\ntransaction:u\ndestination:/q\n\nb^");
        assertThat(events).isEmpty();
        send("ABORT\ntransaction:u\n\n^COMMIT\ntransaction:t\n\n^");
        assertThat(events).containsExactly("sent /q a");
        assertThat(send("COMMIT\ntransaction:t\n\n^")).startsWith("ERROR");
    }

    @Test
    void acknowledgesMessagesIndividuallyAndCumulatively() {
        connect();
        send(
                """
                SUBSCRIBE
                id:1
                destination:/a
                ack:client

                ^SUBSCRIBE
                id:2
                destination:/b
                ack:client-individual

                ^\
                """);
        for (String messageId : List.of("m1", "m2", "m3")) {
            session.message("/a", messageId, Frame.of(StompCommand.MESSAGE));
        }
        session.message("/b", "m4", Frame.of(StompCommand.MESSAGE));
        session.message("/b", "m5", Frame.of(StompCommand.MESSAGE));
        assertThat(sentFrames()).contains("ack:1-2").contains("ack:2-5").contains("subscription:2");
        send("ACK\nid:1-2\n\n^NACK\nid:2-5\n\n^");
        assertThat(events).endsWith("ack m1", "ack m2", "nack m5");
        assertThat(send("ACK\nid:1-2\n\n^")).startsWith("ERROR");
    }

    @Test
    void sendsNothingAfterUnsubscribe() {
        connect();
        send("SUBSCRIBE\nid:1\ndestination:/a\n\n^UNSUBSCRIBE\nid:1\n\n^");
        assertThat(session.message("/a", "m", Frame.of(StompCommand.MESSAGE))).isNull();
        assertThat(events).contains("unsubscribed /a");
    }

    @Test
    void disconnectsSlowReader() {
        connect();
        send("SUBSCRIBE\nid:1\ndestination:/a\n\n^");
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        assertThat(session.message("/a", "m", Frame.of(StompCommand.MESSAGE))).isNull();
        assertThat(sentFrames()).contains("too slow a reader");
        assertThat(session.open()).isFalse();
    }

    @Test
    void disconnectSendsReceiptThenCloses() {
        connect();
        assertThat(send("DISCONNECT\nreceipt:9\n\n^")).isEqualTo("RECEIPT\nreceipt-id:9\n\n^");
        assertThat(channel.isOpen()).isFalse();
        assertThat(events).containsExactly("closed: the peer disconnected");
    }

    @Test
    void rejectsMalformedFrame() {
        connect();
        assertThat(send("FROB\n\n^")).startsWith("ERROR\nmessage:malformed frame");
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void rejectsOversizedFrame() {
        connect();
        assertThat(send("SEND\ndestination:/q\ncontent-length:99999999\n\nx"))
                .startsWith("ERROR\nmessage:frame too large");
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void errorNamesMissingHeader() {
        connect();
        assertThat(send("SUBSCRIBE\nid:1\n\n^")).contains("SUBSCRIBE needs the header destination");
    }
}
