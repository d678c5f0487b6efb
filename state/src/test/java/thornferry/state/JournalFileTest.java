package thornferry.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.requests.TaskSpec;

class JournalFileTest {
    private static final Path FOLDER = Path.of("f");

    @TempDir Path folder;

    private static JournalRecord.Offered offered(int n) {
        return new JournalRecord.Offered(
                n,
                "a" + n,
                "o",
                "tenant",
                new TaskSpec("t" + n, "levy-run", "s", "", 1, 2, null, 300),
                Idempotency.NON_IDEMPOTENT,
                "n1",
                7);
    }

    private static List<String> attempts(Iterable<JournalRecord> promises) {
        List<String> all = new ArrayList<>();
        promises.forEach(p -> all.add(((JournalRecord.Offered) p).attempt()));
        return all;
    }

    private static JournalFile open(Storage storage, Durability durability, long[] nanos)
            throws IOException {
        JournalFile file =
                new JournalFile(
                        FOLDER, "p-0", durability, storage, () -> nanos[0], false, () -> {});
        file.compactFrom = 2_000;
        return file;
    }

    /**
     * Plays one journal with a crash at some step; what was acknowledged must be there afterwards,
     * in order.
     */
    private static void crashOnce(long seed, Durability durability, boolean power)
            throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        CrashingStorage storage = new CrashingStorage(random);
        Set<String> acknowledged = new LinkedHashSet<>();
        List<JournalRecord> appended = new ArrayList<>();
        int number = 0;
        for (int life = 0; life < 4; life++) {
            storage.losesPowerAt = storage.steps + 1 + random.nextInt(60);
            storage.fullFrom =
                    random.nextInt(4) == 0 ? storage.steps + random.nextInt(40) : Integer.MAX_VALUE;
            storage.fullUntil =
                    storage.fullFrom == Integer.MAX_VALUE
                            ? Integer.MAX_VALUE
                            : storage.fullFrom + 6;
            long[] nanos = {0};
            try {
                JournalFile file = open(storage, durability, nanos);
                List<String> read = attempts(file.records());
                assertThat(read)
                        .as("seed %d life %d", seed, life)
                        .containsAll(acknowledged)
                        .isSubsetOf(attempts(appended))
                        .isSorted();
                appended.removeIf(p -> !read.contains(((JournalRecord.Offered) p).attempt()));
                file.startIncarnation(file.records());
                for (int i = 0; i < 100; i++) {
                    JournalRecord.Offered p = offered(1_000 + ++number);
                    appended.add(p);
                    file.append(
                            p,
                            wrong -> {
                                if (wrong == null) {
                                    acknowledged.add(p.attempt());
                                }
                            });
                    nanos[0] += 400_000_000;
                    if (random.nextInt(10) == 0) {
                        file.compact(() -> List.copyOf(appended));
                    }
                }
            } catch (CrashingStorage.PowerLoss e) {
                // as planned
            } catch (IOException full) {
                storage.fullFrom = Integer.MAX_VALUE; // it could not begin; the operator makes room
            }
            storage.crash(power);
            storage.fullFrom = Integer.MAX_VALUE;
        }
    }

    @Test
    void whatIsForcedOutlastsAPowerLossAtAnyStepWithTornAndReorderedWrites() throws IOException {
        for (long seed = 1; seed <= 2_000; seed++) {
            crashOnce(seed, Durability.DISK, true);
        }
    }

    @Test
    void whatIsHandedToTheSystemOutlastsAKillAtAnyStep() throws IOException {
        for (long seed = 1; seed <= 2_000; seed++) {
            crashOnce(seed, Durability.OS, false);
        }
    }

    @Test
    void theTestFindsAJournalThatDoesNotForce() {
        assertThatThrownBy(
                        () -> {
                            for (long seed = 1; seed <= 3_000; seed++) {
                                crashOnce(
                                        seed,
                                        Durability.OS,
                                        true); // os promises nothing over a power loss
                            }
                        })
                .isInstanceOf(AssertionError.class);
    }

    private static byte[] some() throws IOException {
        CrashingStorage storage = new CrashingStorage(new SplittableRandom(1));
        JournalFile file = open(storage, Durability.OS, new long[1]);
        file.startIncarnation(List.of());
        for (int i = 0; i < 5; i++) {
            file.append(offered(i), wrong -> {});
        }
        return storage.content(FOLDER.resolve("journal-1.tfj"));
    }

    private static JournalContents read(byte[] content, String placer) throws IOException {
        CrashingStorage storage = new CrashingStorage(new SplittableRandom(1));
        storage.put(FOLDER.resolve("journal-1.tfj"), content);
        return JournalContents.of(storage, FOLDER.resolve("journal-1.tfj"), placer);
    }

    @Test
    void cutAtAnyOctetItIsReadUpToItsLastWholeLine() throws IOException {
        byte[] all = some();
        int most = 0;
        for (int length = 0; length <= all.length; length++) {
            JournalContents reading = read(Arrays.copyOf(all, length), "p-0");
            assertThat(reading.records().size()).isBetween(most, most + 1);
            most = Math.max(most, reading.records().size());
            // a kill leaves no more than one line that is not whole, so nothing is lacking but that
            // one
            assertThat(reading.complete()).isEqualTo(!reading.foreign());
        }
        assertThat(most).isEqualTo(5);
        assertThat(read(all, "p-0").problem()).isEmpty();
    }

    @Test
    void withAnyOctetWrongNothingIsTakenForWholeAndNoWrongLineIsRead() throws IOException {
        byte[] all = some();
        for (int at = 0; at < all.length; at++) {
            byte[] wrong = all.clone();
            wrong[at] ^= 0x41;
            JournalContents reading = read(wrong, "p-0");
            assertThat(reading.problem()).as("octet %d", at).isNotEmpty();
            assertThat(attempts(reading.records()))
                    .isEqualTo(
                            List.of("a0", "a1", "a2", "a3", "a4")
                                    .subList(0, reading.records().size()));
        }
    }

    @Test
    void aForeignALaterAndANoisyFileAreKeptAsideAndSaid() throws IOException {
        assertThat(read(some(), "p-1").problem()).contains("is that of placer p-0, not of p-1");
        assertThat(read("no journal at all".getBytes(), "p-0").problem())
                .isEqualTo("is no journal");
        Files.write(Files.createDirectories(folder).resolve("journal-7.tfj"), some());
        try (JournalFile file = JournalFile.open(folder, "p-1", Durability.DISK)) {
            assertThat(file.records()).isEmpty();
            assertThat(file.incompleteBecause()).contains("is that of placer p-0");
            file.startIncarnation(List.of());
        }
        try (var left = Files.list(folder)) {
            assertThat(left.map(f -> f.getFileName().toString().replaceAll("aside-\\d+", "aside")))
                    .contains("journal-7.tfj.aside", "journal-8.tfj");
        }
    }

    @Test
    void aSecondOwnerIsTurnedAwayAndTheFirstOnesLinesAreThereAfterwards() throws Exception {
        CountDownLatch done = new CountDownLatch(20);
        try (JournalFile file = JournalFile.open(folder, "p-0", Durability.DISK)) {
            assertThat(file.incompleteBecause()).isEqualTo("there was no journal before");
            file.startIncarnation(List.of());
            assertThatThrownBy(() -> JournalFile.open(folder, "p-0", Durability.DISK))
                    .isInstanceOf(JournalFile.JournalInUseException.class)
                    .hasMessageContaining("is in use by another placer");
            for (int i = 10; i < 30; i++) {
                file.append(offered(i), wrong -> done.countDown());
            }
            assertThat(done.await(10, TimeUnit.SECONDS)).isTrue();
        }
        try (JournalFile again = JournalFile.open(folder, "p-0", Durability.DISK)) {
            assertThat(again.incompleteBecause()).isEmpty();
            assertThat(again.records()).hasSize(20).contains(offered(17));
        }
    }
}
