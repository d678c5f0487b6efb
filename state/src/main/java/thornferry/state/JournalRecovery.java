package thornferry.state;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.state.v1.Entry;
import thornferry.state.v1.Incarnation;

/** Reads, at the start of a placer, the journal that earlier incarnations left in its folder. */
final class JournalRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(JournalRecovery.class);

    /** The random id that a Linux kernel generates at each boot. */
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    /**
     * The journal that earlier incarnations left.
     *
     * @param file the newest file; empty if there is none or if it was renamed as unusable
     * @param generation the generation of the newest file, even if that was renamed; 0 if there is
     *     no file
     * @param contents the contents of the newest file
     * @param incompleteReason why records may be missing, as a sentence; empty if none are
     */
    record RecoveredJournal(
            Optional<Path> file,
            long generation,
            JournalContents contents,
            String incompleteReason) {}

    private JournalRecovery() {}

    /** Reads the newest file of the folder, and renames it if it is damaged or foreign. */
    static RecoveredJournal recover(JournalFolder folder, String placer) throws IOException {
        List<Path> files = folder.files();
        if (files.isEmpty()) {
            JournalContents noContents = JournalContents.empty(placer);
            return new RecoveredJournal(
                    Optional.empty(), 0, noContents, incompleteReason(noContents));
        }
        Path newest = files.get(files.size() - 1);
        JournalContents contents =
                JournalReader.read(folder.storage(), newest, Optional.of(placer));
        if (!contents.problem().isEmpty()) {
            LOG.warn("journal {} {}", newest, contents.problem());
        }
        Optional<Path> file = Optional.of(newest);
        if (!contents.complete()) {
            Path newPath = folder.renameUnusable(newest);
            LOG.warn("journal {} cannot be used and was renamed to {}", newest, newPath);
            file = Optional.empty();
        }
        return new RecoveredJournal(
                file, JournalFolder.generation(newest), contents, incompleteReason(contents));
    }

    private static String incompleteReason(JournalContents contents) {
        if (!contents.complete()) { // this includes foreign contents
            return "the newest journal file " + contents.problem();
        }
        Incarnation previous = contents.lastIncarnation();
        if (previous == null) {
            return "there is no journal of an earlier incarnation";
        }
        boolean unforced = previous.getDurability().equals(Durability.OS.name());
        if (unforced && !previous.getBoot().equals(bootId())) {
            return "the machine was rebooted, and with durability os the last records may be"
                    + " lost";
        }
        return "";
    }

    /** Returns the frame that records the start of an incarnation on this boot of the machine. */
    static byte[] incarnationFrame(Durability durability) {
        Incarnation incarnation =
                Incarnation.newBuilder().setBoot(bootId()).setDurability(durability.name()).build();
        return FrameFormat.frame(Entry.newBuilder().setIncarnation(incarnation).build());
    }

    /**
     * Returns the id of the machine's current boot; empty if the system has no such id, in which
     * case a reboot is not detected.
     */
    private static String bootId() {
        try {
            return Files.readString(BOOT_ID_FILE).strip();
        } catch (IOException e) {
            return "";
        }
    }
}
