package thornferry.testbed.capture;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a proxied connection passes on and records before and after it is closed. */
class ForwardingHandlerTest {
    private static final long CONNECTION_NUMBER = 1;
    private static final String FRAME = "SEND\ndestination:/tasks\n\n{}\0";

    @TempDir Path folder;
    private Path file;
    private Capture capture;
    private ProxiedConnection connection;
    private final EmbeddedChannel source = new EmbeddedChannel();
    private final EmbeddedChannel destination = new EmbeddedChannel();

    @BeforeEach
    void openConnection() throws IOException {
        file = folder.resolve("capture.jsonl");
        capture = new Capture(file);
        connection =
                new ProxiedConnection(
                        CONNECTION_NUMBER, "p", capture, new EmbeddedChannel(), closed -> {});
        ForwardingHandler handler = new ForwardingHandler(connection, Direction.TO_PLACER, capture);
        handler.forwardTo(destination);
        source.pipeline().addLast(handler);
    }

    @AfterEach
    void releaseChannels() {
        source.finishAndReleaseAll();
        destination.finishAndReleaseAll();
    }

    private ByteBuf read() {
        ByteBuf bytes = Unpooled.copiedBuffer(FRAME, StandardCharsets.UTF_8);
        source.writeInbound(bytes);
        return bytes;
    }

    private List<String> recordedRows() throws IOException {
        capture.close();
        return Files.readAllLines(file);
    }

    @Test
    void forwardsAndRecordsFrameOfOpenConnection() throws IOException {
        read();
        ByteBuf forwarded = destination.readOutbound();
        assertThat(forwarded.toString(StandardCharsets.UTF_8)).isEqualTo(FRAME);
        forwarded.release();
        assertThat(recordedRows()).singleElement().asString().contains("\"k\":\"frame\"");
    }

    @Test
    void ignoresFrameReadAfterConnectionIsClosed() throws IOException {
        connection.close();
        ByteBuf bytes = read();
        assertThat(bytes.refCnt()).isZero();
        assertThat(destination.<ByteBuf>readOutbound()).isNull();
        assertThat(recordedRows()).singleElement().asString().contains("\"k\":\"close\"");
    }
}
