package thornferry.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.requests.TaskSpec;
import thornferry.state.JournalFile.Options;
import thornferry.state.JournalFile.Threading;

class JournalFileTest {
    private static final Path FOLDER = Path.of("f");
    private static final Path FIRST_FILE = FOLDER.resolve("journal-1.tfj");
    private static final int INCARNATIONS = 4;
    private static final int RECORDS_PER_INCARNATION = 100;
    private static final long NANOS_BETWEEN_RECORDS = 400_000_000;
    private static final long COMPACTION_THRESHOLD_BYTES = 2_000;

    @TempDir Path folder;

    private static JournalRecord.Offered offered(int number) {
        return new JournalRecord.Offered(
                number,
                "a" + number,
                "o",
                "tenant",
                new TaskSpec("t" + number, "levy-run", "s", "", 1, 2, null, 300),
                Idempotency.NON_IDEMPOTENT,
                "n1",
                7);
    }

    private static String attempt(JournalRecord journalRecord) {
        return ((JournalRecord.Offered) journalRecord).attempt();
    }

    private static List<String> attempts(Iterable<JournalRecord> records) {
        List<String> attempts = new ArrayList<>();
        records.forEach(journalRecord -> attempts.add(attempt(journalRecord)));
        return attempts;
    }

    private static JournalFile open(Storage storage, Durability durability, AtomicLong nanoClock)
            throws IOException {
        return new JournalFile(
                new JournalFolder(FOLDER, storage, () -> {}),
                "p-0",
                new Options(
                        durability, nanoClock::get, Threading.CALLER, COMPACTION_THRESHOLD_BYTES));
    }

    /** One journal over several incarnations, each of which ends in a crash at a random step. */
    private static final class CrashTrial {
        private final long seed;
        private final Durability durability;
        private final SplittableRandom random;
        private final CrashingStorage storage;
        private final Set<String> acknowledged = new LinkedHashSet<>();
        private final List<JournalRecord> appended = new ArrayList<>();
        private int lastNumber = 1_000; // four digits, so that attempts sort like their numbers

        CrashTrial(long seed, Durability durability) {
            this.seed = seed;
            this.durability = durability;
            random = new SplittableRandom(seed);
            storage = new CrashingStorage(random);
        }

        /**
         * Checks that every incarnation finds the acknowledged records of all earlier ones, in
         * order.
         */
        void run(CrashingStorage.Crash crash) throws IOException {
            for (int incarnation = 0; incarnation < INCARNATIONS; incarnation++) {
                scheduleFaults();
                try {
                    runIncarnation(incarnation);
                } catch (CrashingStorage.PowerLoss e) {
                    // as scheduled
                } catch (IOException e) {
                    // the incarnation could not start; the operator frees disk space
                    storage.clearDiskFull();
                }
                storage.crash(crash);
                storage.clearDiskFull();
            }
        }

        private void scheduleFaults() {
            storage.crashAtStep = storage.steps + 1 + random.nextInt(60);
            if (random.nextInt(4) == 0) {
                storage.diskFullFromStep = storage.steps + random.nextInt(40);
                storage.diskFullUntilStep = storage.diskFullFromStep + 6;
            } else {
                storage.clearDiskFull();
            }
        }

        private void runIncarnation(int incarnation) throws IOException {
            AtomicLong nanoClock = new AtomicLong();
            JournalFile file = open(storage, durability, nanoClock);
            List<String> recovered = attempts(file.records());
            assertThat(recovered)
                    .as("seed %d incarnation %d", seed, incarnation)
                    .containsAll(acknowledged)
                    .isSubsetOf(attempts(appended))
                    .isSorted();
            appended.removeIf(journalRecord -> !recovered.contains(attempt(journalRecord)));
            file.startIncarnation(file.records());
            for (int i = 0; i < RECORDS_PER_INCARNATION; i++) {
                appendNext(file);
                nanoClock.addAndGet(NANOS_BETWEEN_RECORDS);
                if (random.nextInt(10) == 0) {
                    file.compact(() -> List.copyOf(appended));
                }
            }
        }

        private void appendNext(JournalFile file) {
            lastNumber++;
            JournalRecord.Offered offered = offered(lastNumber);
            appended.add(offered);
            file.append(
                    offered,
                    failure -> {
                        if (failure == null) {
                            acknowledged.add(offered.attempt());
                        }
                    });
        }
    }

    @Test
    void forcedRecordsSurvivePowerLossAtAnyStepWithTornAndReorderedWrites() throws IOException {
        for (long seed = 1; seed <= 2_000; seed++) {
            new CrashTrial(seed, Durability.DISK).run(CrashingStorage.Crash.POWER_LOSS);
        }
    }

    @Test
    void recordsWrittenToTheSystemSurviveKillAtAnyStep() throws IOException {
        for (long seed = 1; seed <= 2_000; seed++) {
            new CrashTrial(seed, Durability.OS).run(CrashingStorage.Crash.KILL);
        }
    }

    @Test
    void crashTrialDetectsJournalThatIsNotForcedToDisk() {
        assertThatThrownBy(
                        () -> {
                            for (long seed = 1; seed <= 3_000; seed++) {
                                // durability OS does not cover a power loss
                                new CrashTrial(seed, Durability.OS)
                                        .run(CrashingStorage.Crash.POWER_LOSS);
                            }
                        })
                .isInstanceOf(AssertionError.class);
    }

    private static byte[] journalOfFiveRecords() throws IOException {
        CrashingStorage storage = new CrashingStorage(new SplittableRandom(1));
        JournalFile file = open(storage, Durability.OS, new AtomicLong());
        file.startIncarnation(List.of());
        for (int number = 0; number < 5; number++) {
            file.append(offered(number), failure -> {});
        }
        return storage.content(FIRST_FILE);
    }

    private static JournalContents read(byte[] content, String placer) throws IOException {
        CrashingStorage storage = new CrashingStorage(new SplittableRandom(1));
        storage.put(FIRST_FILE, content);
        return JournalReader.read(storage, FIRST_FILE, Optional.of(placer));
    }

    @Test
    void readsFileTruncatedAtAnyByteUpToItsLastIntactRecord() throws IOException {
        byte[] journal = journalOfFiveRecords();
        int maxRecords = 0;
        for (int length = 0; length <= journal.length; length++) {
            JournalContents contents = read(Arrays.copyOf(journal, length), "p-0");
            assertThat(contents.records().size()).isBetween(maxRecords, maxRecords + 1);
            maxRecords = Math.max(maxRecords, contents.records().size());
            // a killed process leaves at most one torn record, so no other record is missing
            assertThat(contents.complete()).isEqualTo(!contents.foreign());
        }
        assertThat(maxRecords).isEqualTo(5);
        assertThat(read(journal, "p-0").problem()).isEmpty();
    }

    @Test
    void reportsAnyChangedByteAndReadsNoDamagedRecord() throws IOException {
        byte[] journal = journalOfFiveRecords();
        for (int offset = 0; offset < journal.length; offset++) {
            byte[] damaged = journal.clone();
            damaged[offset] ^= 0x41;
            JournalContents contents = read(damaged, "p-0");
            assertThat(contents.problem()).as("offset %d", offset).isNotEmpty();
            assertThat(attempts(contents.records()))
                    .isEqualTo(
                            List.of("a0", "a1", "a2", "a3", "a4")
                                    .subList(0, contents.records().size()));
        }
    }

    @Test
    void renamesForeignJournalAndReportsIt() throws IOException {
        assertThat(read(journalOfFiveRecords(), "p-1").problem())
                .contains("belongs to placer p-0, not to p-1");
        assertThat(read("no journal at all".getBytes(StandardCharsets.UTF_8), "p-0").problem())
                .isEqualTo("is not a journal file");
        Files.write(
                Files.createDirectories(folder).resolve("journal-7.tfj"), journalOfFiveRecords());
        try (JournalFile file = JournalFile.open(folder, "p-1", Durability.DISK)) {
            assertThat(file.records()).isEmpty();
            assertThat(file.incompleteReason()).contains("belongs to placer p-0");
            file.startIncarnation(List.of());
        }
        try (Stream<Path> remaining = Files.list(folder)) {
            assertThat(
                            remaining.map(
                                    file ->
                                            file.getFileName()
                                                    .toString()
                                                    .replaceAll("aside-\\d+", "aside")))
                    .contains("journal-7.tfj.aside", "journal-8.tfj");
        }
    }

    @Test
    void rejectsSecondUserOfFolderAndRetainsRecordsOfTheFirst() throws Exception {
        CountDownLatch done = new CountDownLatch(20);
        try (JournalFile file = JournalFile.open(folder, "p-0", Durability.DISK)) {
            assertThat(file.incompleteReason())
                    .isEqualTo("there is no journal of an earlier incarnation");
            file.startIncarnation(List.of());
            assertThatThrownBy(() -> JournalFile.open(folder, "p-0", Durability.DISK))
                    .isInstanceOf(JournalFile.JournalInUseException.class)
                    .hasMessageContaining("is in use by another placer");
            for (int number = 10; number < 30; number++) {
                file.append(offered(number), failure -> done.countDown());
            }
            assertThat(done.await(10, TimeUnit.SECONDS)).isTrue();
        }
        try (JournalFile reopened = JournalFile.open(folder, "p-0", Durability.DISK)) {
            assertThat(reopened.incompleteReason()).isEmpty();
            assertThat(reopened.records()).hasSize(20).contains(offered(17));
        }
    }
}
