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

/** Finds out, at the start of a placer, what former incarnations have left in its folder. */
final class JournalRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(JournalRecovery.class);

    /** Linux: a random id that the kernel draws anew at each boot. */
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    /**
     * What was found.
     *
     * @param file the newest file; empty if there is none or it was set aside
     * @param generation of the newest file, also if it was set aside; 0 if there was none
     * @param incompleteBecause why records may be missing, as a sentence; empty if none are
     */
    record RecoveredJournal(
            Optional<Path> file,
            long generation,
            JournalContents contents,
            String incompleteBecause) {}

    private JournalRecovery() {}

    /**
     * Reads the newest file of the folder. A file with missing or foreign contents is set aside.
     */
    static RecoveredJournal recover(JournalFolder folder, String placer) throws IOException {
        List<Path> files = folder.files();
        if (files.isEmpty()) {
            JournalContents nothing = JournalContents.empty(placer);
            return new RecoveredJournal(Optional.empty(), 0, nothing, incompleteBecause(nothing));
        }
        Path newest = files.get(files.size() - 1);
        JournalContents contents =
                JournalReader.read(folder.storage(), newest, Optional.of(placer));
        if (!contents.problem().isEmpty()) {
            LOG.warn("journal {} {}", newest, contents.problem());
        }
        Optional<Path> file = Optional.of(newest);
        if (!contents.complete()) {
            Path aside = folder.setAside(newest);
            LOG.warn("journal {} is set aside as {}", newest, aside);
            file = Optional.empty();
        }
        return new RecoveredJournal(
                file, JournalFolder.generation(newest), contents, incompleteBecause(contents));
    }

    private static String incompleteBecause(JournalContents contents) {
        if (!contents.complete()) { // foreign contents never are
            return "the journal found " + contents.problem();
        }
        Incarnation former = contents.lastIncarnation();
        if (former == null) {
            return "there was no journal before";
        }
        boolean unforced = former.getDurability().equals(Durability.OS.name());
        if (unforced && !former.getBoot().equals(bootId())) {
            return "the machine was started anew, and with durability os its last lines may be"
                    + " lost";
        }
        return "";
    }

    /** The framed entry that marks the start of an incarnation on this boot of the machine. */
    static byte[] incarnationFrame(Durability durability) {
        Incarnation incarnation =
                Incarnation.newBuilder().setBoot(bootId()).setDurability(durability.name()).build();
        return FrameFormat.frame(Entry.newBuilder().setIncarnation(incarnation).build());
    }

    /**
     * Identifies this boot of the machine. Empty where the system has no such id; then a reboot
     * goes unnoticed.
     */
    private static String bootId() {
        try {
            return Files.readString(BOOT_ID_FILE).strip();
        } catch (IOException e) {
            return "";
        }
    }
}
