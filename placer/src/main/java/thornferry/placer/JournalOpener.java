package thornferry.placer;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.state.Durability;
import thornferry.state.Journal;
import thornferry.state.JournalFile;

/** Opens the journals of the instances of a placer and closes them when the placer is closed. */
final class JournalOpener implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(JournalOpener.class);

    private final List<JournalFile> journals = new ArrayList<>();

    /**
     * Opens the journal of an instance and reads the records of its earlier incarnations. If the
     * folder cannot be used, the instance starts nevertheless and rejects only the requests that
     * need the journal.
     *
     * @throws JournalFile.JournalInUseException if another process uses the journal
     */
    RecoveredState open(Site site, String instance) throws IOException {
        if (site.state().durability() == Durability.NONE) {
            return RecoveredState.NO_JOURNAL;
        }
        Path folder = site.state().folder().resolve(instance);
        try {
            JournalFile file = JournalFile.open(folder, instance, site.state().durability());
            journals.add(file);
            boolean complete = file.incompleteReason().isEmpty();
            LOG.atInfo()
                    .addKeyValue("instance", instance)
                    .log(
                            "journal in {}: {} records of earlier incarnations{}",
                            folder,
                            file.records().size(),
                            complete ? "" : "; " + file.incompleteReason());
            return new RecoveredState(file, file.records(), complete);
        } catch (JournalFile.JournalInUseException e) {
            throw e;
        } catch (IOException e) {
            String failure = "the journal in " + folder + " cannot be used: " + e;
            LOG.atError()
                    .addKeyValue("instance", instance)
                    .log(
                            "{}; tasks that are not idempotent, or only with a key, are rejected",
                            failure);
            return new RecoveredState(Journal.broken(failure), List.of(), false);
        }
    }

    /**
     * Starts the journal of the new incarnation with the records that are still needed; does
     * nothing without a journal file.
     */
    static void startIncarnation(RecoveredState recovered, PlacerServer server) throws IOException {
        if (recovered.journal() instanceof JournalFile file) {
            file.startIncarnation(server.recordsToKeep());
        }
    }

    @Override
    public void close() {
        journals.forEach(JournalFile::close);
    }
}
