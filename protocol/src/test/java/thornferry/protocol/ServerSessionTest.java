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

/** One session without a socket: what goes in as text, and what comes out. */
class ServerSessionTest implements SessionHandler {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<String> seen = new ArrayList<>();
    private ServerSession session;

    @BeforeEach
    void install() {
        ServerSession.install(
                channel, this, FrameLimits.DEFAULTS, new Heartbeat(1_000, 1_000), "s", 5_000);
    }

    @Override
    public void connecting(ServerSession s, String login, String passcode) {
        if ("slow".equals(login)) {
            session = s; // the answer comes later
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
        seen.add("sent " + destination + " " + frame.text());
    }

    @Override
    public void subscribed(ServerSession s, String id, String destination) {
        session = s;
        seen.add("subscribed " + destination);
    }

    @Override
    public void unsubscribed(ServerSession s, String destination) {
        seen.add("unsubscribed " + destination);
    }

    @Override
    public void acknowledged(ServerSession s, String messageId, boolean good) {
        seen.add((good ? "ack " : "nack ") + messageId);
    }

    @Override
    public void closed(ServerSession s, String why) {
        seen.add("closed: " + why);
    }

    /** Sends text, with ^ for NUL, and gives back what is answered, likewise. */
    private String send(String text) {
        channel.writeInbound(
                Unpooled.copiedBuffer(text.replace('^', '\0'), StandardCharsets.UTF_8));
        return out();
    }

    private String out() {
        channel.runPendingTasks();
        StringBuilder out = new StringBuilder();
        for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            out.append(b.toString(StandardCharsets.UTF_8));
            b.release();
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
    void rejectsOtherVersionsWithTheSupportedOne() {
        assertThat(send("CONNECT\naccept-version:1.0,1.1\nhost:h\n\n^"))
                .startsWith("ERROR")
                .contains("version:1.2");
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void rejectsWrongPasscodeAndFramesBeforeConnect() {
        assertThat(send("CONNECT\naccept-version:1.2\nlogin:me\npasscode:x\n\n^"))
                .contains("not accepted");
        EmbeddedChannel other = new EmbeddedChannel();
        ServerSession.install(other, this, FrameLimits.DEFAULTS, Heartbeat.NONE, "s", 5_000);
        other.writeInbound(
                Unpooled.copiedBuffer("SEND\ndestination:/q\n\n\0", StandardCharsets.UTF_8));
        assertThat(other.isOpen()).isFalse();
        assertThat(seen).isEmpty();
    }

    @Test
    void defersFramesUntilLoginIsChecked() {
        channel.writeInbound(
                Unpooled.copiedBuffer(
                        "CONNECT\naccept-version:1.2\nlogin:slow\n\n\0SEND\ndestination:/q\n"
                                + "receipt:1\n\nearly\0",
                        StandardCharsets.UTF_8));
        assertThat(seen).isEmpty();
        session.admit("slow");
        assertThat(out()).containsSubsequence("CONNECTED", "RECEIPT");
        assertThat(seen).containsExactly("sent /q early");
    }

    @Test
    void sendsReceiptOnceFrameIsProcessed() {
        connect();
        assertThat(send("SEND\ndestination:/q\nreceipt:7\n\nhi^"))
                .isEqualTo("RECEIPT\nreceipt-id:7\n\n^");
        assertThat(seen).containsExactly("sent /q hi");
    }

    @Test
    void errorNamesReceiptAndClosesSession() {
        connect();
        String out = send("SEND\ndestination:/bad\nreceipt:7\n\n^SEND\ndestination:/q\n\nlater^");
        assertThat(out)
                .startsWith("ERROR\nmessage:no such place\nreceipt-id:7\n")
                .contains("look elsewhere");
        assertThat(channel.isOpen()).isFalse();
        assertThat(seen).containsExactly("closed: no such place");
    }

    @Test
    void holdsTransactionUntilCommitAndDropsItOnAbort() {
        connect();
        send(
                "BEGIN\ntransaction:t\n\n^SEND\ntransaction:t\ndestination:/q\n\na^"
                        + "BEGIN\ntransaction:u\n\n^SEND\ntransaction:u\ndestination:/q\n\nb^");
        assertThat(seen).isEmpty();
        send("ABORT\ntransaction:u\n\n^COMMIT\ntransaction:t\n\n^");
        assertThat(seen).containsExactly("sent /q a");
        assertThat(send("COMMIT\ntransaction:t\n\n^")).startsWith("ERROR");
    }

    @Test
    void acknowledgesSingleAndCumulative() {
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
        for (String m : List.of("m1", "m2", "m3")) {
            session.message("/a", m, Frame.of(StompCommand.MESSAGE));
        }
        session.message("/b", "m4", Frame.of(StompCommand.MESSAGE));
        session.message("/b", "m5", Frame.of(StompCommand.MESSAGE));
        assertThat(out()).contains("ack:1-2").contains("ack:2-5").contains("subscription:2");
        send("ACK\nid:1-2\n\n^NACK\nid:2-5\n\n^");
        assertThat(seen).endsWith("ack m1", "ack m2", "nack m5");
        assertThat(send("ACK\nid:1-2\n\n^")).startsWith("ERROR");
    }

    @Test
    void sendsNothingAfterUnsubscribe() {
        connect();
        send("SUBSCRIBE\nid:1\ndestination:/a\n\n^UNSUBSCRIBE\nid:1\n\n^");
        assertThat(session.message("/a", "m", Frame.of(StompCommand.MESSAGE))).isNull();
        assertThat(seen).contains("unsubscribed /a");
    }

    @Test
    void closesSlowReader() {
        connect();
        send("SUBSCRIBE\nid:1\ndestination:/a\n\n^");
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
        assertThat(session.message("/a", "m", Frame.of(StompCommand.MESSAGE))).isNull();
        assertThat(out()).contains("too slow a reader");
        assertThat(session.open()).isFalse();
    }

    @Test
    void disconnectSendsReceiptThenCloses() {
        connect();
        assertThat(send("DISCONNECT\nreceipt:9\n\n^")).isEqualTo("RECEIPT\nreceipt-id:9\n\n^");
        assertThat(channel.isOpen()).isFalse();
        assertThat(seen).containsExactly("closed: the peer disconnected");
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
    void namesMissingHeaders() {
        connect();
        assertThat(send("SUBSCRIBE\nid:1\n\n^")).contains("SUBSCRIBE needs the header destination");
    }
}
