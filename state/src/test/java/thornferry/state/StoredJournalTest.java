package thornferry.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.TaskSpec;
import thornferry.state.v1.Entry;
import thornferry.state.v1.Header;
import thornferry.state.v1.Incarnation;

/**
 * Journals of version 0.2.0 in {@code src/test/resources/journal-v1}, written by that version's
 * {@link JournalFile}: every later version reads the same records from them and writes the same
 * bytes.
 */
class StoredJournalTest {
    private static final Path FIXTURES = Path.of("src/test/resources/journal-v1");

    /** Rewritten by a second incarnation, then appended to. */
    private static final Path REWRITTEN = FIXTURES.resolve("placer-0/journal-2.tfj");

    /** Its last entry was cut in the middle. */
    private static final Path TORN = FIXTURES.resolve("placer-1/journal-1.tfj");

    private static final TaskSpec NON_IDEMPOTENT_TASK =
            new TaskSpec("pump-7", "levy-run", "pumps", "", 2.5, 4.25, null, 300_000);
    private static final TaskSpec TASK_WITH_KEY =
            new TaskSpec("ledger-3", "ledger-post", "ledger", "key-19", 0.5, 1, null, 0);
    private static final TaskSpec FAILED_TASK =
            new TaskSpec("pump-8", "levy-run", "pumps", "", 1, 1, null, 1_000_000);
    private static final TaskSpec OPEN_TASK =
            new TaskSpec("zähler-1", "levy-run", "zähler", "", 3, 6, null, 0);

    /**
     * What the first incarnation wrote, except for the attempt that never ran, which the rewritten
     * file leaves out.
     */
    private static final List<JournalRecord> CARRIED_OVER =
            List.of(
                    new JournalRecord.Completed(
                            1_700_000_000_000_200L,
                            "depot1",
                            "north",
                            NON_IDEMPOTENT_TASK,
                            Idempotency.NON_IDEMPOTENT,
                            RequestResult.PLACED,
                            "node-1",
                            ""),
                    new JournalRecord.Completed(
                            1_700_000_000_000_300L,
                            "depot2",
                            "",
                            TASK_WITH_KEY,
                            Idempotency.IDEMPOTENT_WITH_KEY,
                            RequestResult.PLACED,
                            "node-2",
                            ""),
                    new JournalRecord.Completed(
                            1_700_000_000_000_400L,
                            "depot1",
                            "north",
                            FAILED_TASK,
                            Idempotency.NON_IDEMPOTENT,
                            RequestResult.FAILED,
                            "",
                            "an earlier attempt may have run"));

    /**
     * What the second incarnation appended: one record of every kind, and each way in which a task
     * ends.
     */
    private static final List<JournalRecord> APPENDED =
            List.of(
                    new JournalRecord.Offered(
                            1_700_000_001_000_000L,
                            "p0.a-1",
                            "depot1",
                            "north",
                            OPEN_TASK,
                            Idempotency.NON_IDEMPOTENT,
                            "node-3",
                            1_699_999_000_000_000L),
                    new JournalRecord.NeverRan(
                            1_700_000_001_000_100L, "depot1", "zähler-1", "p0.a-1"),
                    new JournalRecord.Offered(
                            1_700_000_001_000_200L,
                            "p0.a-2",
                            "depot1",
                            "north",
                            OPEN_TASK,
                            Idempotency.NON_IDEMPOTENT,
                            "node-1",
                            -1),
                    new JournalRecord.Finished(
                            1_700_000_001_000_300L, "depot1", "pump-7", TerminationCause.COMPLETED),
                    new JournalRecord.Finished(
                            1_700_000_001_000_400L, "depot2", "ledger-3", TerminationCause.EVICTED),
                    new JournalRecord.Completed(
                            1_700_000_001_000_500L,
                            "depot2",
                            "",
                            TASK_WITH_KEY,
                            Idempotency.IDEMPOTENT_WITH_KEY,
                            RequestResult.PLACED,
                            "node-1",
                            ""),
                    new JournalRecord.Finished(
                            1_700_000_001_000_600L, "depot2", "ledger-3", TerminationCause.LOST),
                    new JournalRecord.Finished(
                            1_700_000_001_000_700L,
                            "depot2",
                            "ledger-3",
                            TerminationCause.MIGRATED),
                    new JournalRecord.Finished(
                            1_700_000_001_000_800L,
                            "depot2",
                            "ledger-3",
                            TerminationCause.STOPPED));

    @TempDir Path folder;

    private static byte[] encoded(
            String placer,
            List<JournalRecord> carriedOver,
            Incarnation incarnation,
            List<JournalRecord> appended)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(FrameFormat.magic());
        bytes.write(
                FrameFormat.frame(
                        Header.newBuilder()
                                .setVersion(FrameFormat.VERSION)
                                .setPlacer(placer)
                                .build()));
        for (JournalRecord journalRecord : carriedOver) {
            bytes.write(RecordCodec.frame(journalRecord));
        }
        bytes.write(FrameFormat.frame(Entry.newBuilder().setIncarnation(incarnation).build()));
        for (JournalRecord journalRecord : appended) {
            bytes.write(RecordCodec.frame(journalRecord));
        }
        return bytes.toByteArray();
    }

    @Test
    void readsEveryRecordKindOfRewrittenFile() throws IOException {
        JournalContents contents = JournalContents.of(REWRITTEN, "placer-0");
        assertThat(contents.problem()).isEmpty();
        assertThat(contents.complete()).isTrue();
        assertThat(contents.foreign()).isFalse();
        assertThat(contents.placer()).isEqualTo("placer-0");
        assertThat(contents.lastIncarnation().getDurability()).isEqualTo("OS");
        assertThat(contents.records().subList(0, 3)).isEqualTo(CARRIED_OVER);
        assertThat(contents.records().subList(3, contents.records().size())).isEqualTo(APPENDED);
    }

    @Test
    void encodesTheSameRecordsToTheSameBytes() throws IOException {
        Incarnation incarnation = JournalContents.of(REWRITTEN, "placer-0").lastIncarnation();
        assertThat(encoded("placer-0", CARRIED_OVER, incarnation, APPENDED))
                .isEqualTo(Files.readAllBytes(REWRITTEN));
    }

    @Test
    void readsTornTailUpToItsLastIntactRecord() throws IOException {
        JournalContents contents = JournalContents.of(TORN, "placer-1");
        assertThat(contents.complete()).isTrue();
        assertThat(contents.problem()).startsWith("its last line was not whole and is cut off");
        assertThat(contents.records()).isEqualTo(APPENDED.subList(0, 3));
        byte[] complete =
                encoded("placer-1", List.of(), contents.lastIncarnation(), APPENDED.subList(0, 4));
        byte[] torn = Files.readAllBytes(TORN);
        assertThat(torn).isEqualTo(Arrays.copyOf(complete, torn.length));
    }

    @Test
    void takesOverStoredJournalAtNextStart() throws IOException {
        Path copy = Files.createDirectories(folder.resolve("placer-0"));
        Files.copy(REWRITTEN, copy.resolve("journal-2.tfj"));
        try (JournalFile journal = JournalFile.open(copy, "placer-0", Durability.DISK)) {
            assertThat(journal.records()).hasSize(12);
            journal.startIncarnation(journal.records());
        }
        JournalContents rewritten = JournalContents.of(copy.resolve("journal-3.tfj"), "placer-0");
        assertThat(rewritten.records().subList(3, 12)).isEqualTo(APPENDED);
        assertThat(rewritten.lastIncarnation().getDurability()).isEqualTo("DISK");
    }
}
