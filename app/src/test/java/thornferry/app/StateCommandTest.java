package thornferry.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.requests.TaskSpec;
import thornferry.state.Durability;
import thornferry.state.JournalFile;

class StateCommandTest {
    private static final TaskSpec SPEC = new TaskSpec("t-1", "levy-run", "s", "", 1, 1, null, 0);

    @TempDir Path state;

    @Test
    void verifyAcceptsJournalsOfVersion020() {
        Path stored = Path.of("../state/src/test/resources/journal-v1");
        CommandResult verified = CommandRunner.run("state", "verify", stored.toString());
        assertThat(verified.code()).isZero();
        assertThat(verified.out())
                .contains("journal-2.tfj: intact, 12 records")
                .contains("journal-1.tfj: its last line was not whole and is cut off at octet");
    }

    @Test
    void showsVerifiesAndCompactsStateOfStoppedPlacer() throws Exception {
        Path instance = state.resolve("p-0");
        try (JournalFile journal = JournalFile.open(instance, "p-0", Durability.OS)) {
            appendSevenRecords(journal);
            assertThat(CommandRunner.run("state", "compact", instance.toString()).code())
                    .as("the journal is in use")
                    .isEqualTo(1);
        }
        assertThat(CommandRunner.run("state", "show", state.toString(), "--tasks").out())
                .contains("placer p-0, 7 records, {offered=1}")
                .contains("t-1")
                .contains("n2");
        assertThat(CommandRunner.run("state", "verify", state.toString()))
                .returns(0, CommandResult::code);
        assertThat(CommandRunner.run("state", "compact", instance.toString()).out())
                .contains("7 records before, 1 after");
        damage(JournalFile.files(instance).get(0));
        assertThat(CommandRunner.run("state", "verify", state.toString()))
                .returns(1, CommandResult::code);
        assertThat(CommandRunner.run("state", "show", state.resolve("missing").toString()).err())
                .contains("is not a folder");
    }

    /** Appends three attempts that never ran, and one offer that is still in effect. */
    private static void appendSevenRecords(JournalFile journal) throws IOException {
        journal.startIncarnation(List.of());
        for (int i = 0; i < 3; i++) {
            journal.append(offer(1, "a" + i, "n1"), failure -> {});
            journal.append(new JournalRecord.NeverRan(2, "depot1", "t-1", "a" + i), failure -> {});
        }
        journal.append(offer(3, "a9", "n2"), failure -> {});
    }

    private static JournalRecord.Offered offer(long atMicros, String attempt, String machine) {
        return new JournalRecord.Offered(
                atMicros, attempt, "depot1", "", SPEC, Idempotency.NON_IDEMPOTENT, machine, 7);
    }

    private static void damage(Path file) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        bytes[30] ^= 1;
        Files.write(file, bytes);
    }
}
