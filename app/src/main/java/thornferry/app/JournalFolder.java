package thornferry.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import thornferry.state.JournalFile;

/** Finds journals in the state folder of a placer or of one of its instances. */
final class JournalFolder {
    private JournalFolder() {}

    /**
     * Returns the newest journal in the folder itself and in each of its direct subfolders.
     *
     * @throws IOException if there is none, or the folder cannot be read
     */
    static List<Path> newestJournals(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + " is not a folder");
        }
        List<Path> newestJournals = new ArrayList<>();
        for (Path instanceFolder : withSubfolders(folder)) {
            List<Path> journals = JournalFile.files(instanceFolder);
            if (!journals.isEmpty()) {
                newestJournals.add(journals.get(journals.size() - 1));
            }
        }
        if (newestJournals.isEmpty()) {
            throw new IOException("no journal in " + folder + " or its direct subfolders");
        }
        return newestJournals;
    }

    private static List<Path> withSubfolders(Path folder) throws IOException {
        try (Stream<Path> children = Files.list(folder)) {
            return Stream.concat(Stream.of(folder), children.filter(Files::isDirectory).sorted())
                    .toList();
        }
    }
}
