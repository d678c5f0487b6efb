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
 * Guards the compatibility of the journal format. The fixtures in {@code
 * src/test/resources/journal-v1} were written by the {@link JournalFile} of version 0.2.0. Every
 * later version must read the same records from them and encode these records to the same bytes.
 */
class StoredJournalTest {
    private static final Path FIXTURES = Path.of("src/test/resources/journal-v1");

    /** The journal that a second incarnation compacted at its start and then appended to. */
    private static final Path COMPACTED = FIXTURES.resolve("placer-0/journal-2.tfj");

    /** A journal whose last entry is truncated. */
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
     * The records of the first incarnation, without the attempt that never ran, which compaction
     * dropped.
     */
    private static final List<JournalRecord> RETAINED =
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
     * The records that the second incarnation appended; together they have every type of record and
     * every termination cause.
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
            List<JournalRecord> retained,
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
        for (JournalRecord journalRecord : retained) {
            bytes.write(RecordCodec.frame(journalRecord));
        }
        bytes.write(FrameFormat.frame(Entry.newBuilder().setIncarnation(incarnation).build()));
        for (JournalRecord journalRecord : appended) {
            bytes.write(RecordCodec.frame(journalRecord));
        }
        return bytes.toByteArray();
    }

    @Test
    void readsEveryRecordTypeOfCompactedFile() throws IOException {
        JournalContents contents = JournalContents.read(COMPACTED, "placer-0");
        assertThat(contents.problem()).isEmpty();
        assertThat(contents.complete()).isTrue();
        assertThat(contents.foreign()).isFalse();
        assertThat(contents.placer()).isEqualTo("placer-0");
        assertThat(contents.lastIncarnation().getDurability()).isEqualTo("OS");
        assertThat(contents.records().subList(0, 3)).isEqualTo(RETAINED);
        assertThat(contents.records().subList(3, contents.records().size())).isEqualTo(APPENDED);
    }

    @Test
    void encodesTheSameRecordsToTheSameBytes() throws IOException {
        Incarnation incarnation = JournalContents.read(COMPACTED, "placer-0").lastIncarnation();
        assertThat(encoded("placer-0", RETAINED, incarnation, APPENDED))
                .isEqualTo(Files.readAllBytes(COMPACTED));
    }

    @Test
    void readsTornTailUpToItsLastIntactRecord() throws IOException {
        JournalContents contents = JournalContents.read(TORN, "placer-1");
        assertThat(contents.complete()).isTrue();
        assertThat(contents.problem()).startsWith("its last line was not whole and is cut off");
        assertThat(contents.records()).isEqualTo(APPENDED.subList(0, 3));
        byte[] complete =
                encoded("placer-1", List.of(), contents.lastIncarnation(), APPENDED.subList(0, 4));
        byte[] torn = Files.readAllBytes(TORN);
        assertThat(torn).isEqualTo(Arrays.copyOf(complete, torn.length));
    }

    @Test
    void recoversStoredJournalAtNextStart() throws IOException {
        Path copiedFolder = Files.createDirectories(folder.resolve("placer-0"));
        Files.copy(COMPACTED, copiedFolder.resolve("journal-2.tfj"));
        try (JournalFile journal = JournalFile.open(copiedFolder, "placer-0", Durability.DISK)) {
            assertThat(journal.records()).hasSize(12);
            journal.startIncarnation(journal.records());
        }
        JournalContents compacted =
                JournalContents.read(copiedFolder.resolve("journal-3.tfj"), "placer-0");
        assertThat(compacted.records().subList(3, 12)).isEqualTo(APPENDED);
        assertThat(compacted.lastIncarnation().getDurability()).isEqualTo("DISK");
    }
}
