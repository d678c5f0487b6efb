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

/** Tests which bytes a proxied connection forwards and records before and after it is closed. */
class ForwardingHandlerTest {
    private static final long CONNECTION_NUMBER = 1;
    private static final String FRAME = "SEND\ndestination:/tasks\n\n{}\0";

    @TempDir Path folder;
    private Path file;
    private Capture capture;
    private ProxiedConnection connection;
    private final EmbeddedChannel sourceChannel = new EmbeddedChannel();
    private final EmbeddedChannel targetChannel = new EmbeddedChannel();

    @BeforeEach
    void openConnection() throws IOException {
        file = folder.resolve("capture.jsonl");
        capture = new Capture(file);
        connection =
                new ProxiedConnection(
                        CONNECTION_NUMBER, "p", capture, new EmbeddedChannel(), closed -> {});
        ForwardingHandler handler = new ForwardingHandler(connection, Direction.TO_PLACER, capture);
        handler.forwardTo(targetChannel);
        sourceChannel.pipeline().addLast(handler);
    }

    @AfterEach
    void releaseChannels() {
        sourceChannel.finishAndReleaseAll();
        targetChannel.finishAndReleaseAll();
    }

    private ByteBuf receiveFrame() {
        ByteBuf bytes = Unpooled.copiedBuffer(FRAME, StandardCharsets.UTF_8);
        sourceChannel.writeInbound(bytes);
        return bytes;
    }

    private List<String> recordedRows() throws IOException {
        capture.close();
        return Files.readAllLines(file);
    }

    @Test
    void forwardsAndRecordsFrameOfOpenConnection() throws IOException {
        receiveFrame();
        ByteBuf forwarded = targetChannel.readOutbound();
        assertThat(forwarded.toString(StandardCharsets.UTF_8)).isEqualTo(FRAME);
        forwarded.release();
        assertThat(recordedRows()).singleElement().asString().contains("\"k\":\"frame\"");
    }

    @Test
    void neitherForwardsNorRecordsFrameReadAfterConnectionIsClosed() throws IOException {
        connection.close();
        ByteBuf bytes = receiveFrame();
        assertThat(bytes.refCnt()).isZero();
        assertThat(targetChannel.<ByteBuf>readOutbound()).isNull();
        assertThat(recordedRows()).singleElement().asString().contains("\"k\":\"close\"");
    }
}
