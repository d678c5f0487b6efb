package thornferry.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import thornferry.state.JournalFile;

/** Finds journals in the state folder of a placer, or in that of one of its instances. */
final class JournalFolder {
    private JournalFolder() {}

    /**
     * The newest journal in the folder itself and in each folder below it.
     *
     * @throws IOException if there is none, or the folder cannot be read
     */
    static List<Path> newestJournals(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + " is no folder");
        }
        List<Path> newest = new ArrayList<>();
        for (Path instance : withSubfolders(folder)) {
            List<Path> journals = JournalFile.files(instance);
            if (!journals.isEmpty()) {
                newest.add(journals.get(journals.size() - 1));
            }
        }
        if (newest.isEmpty()) {
            throw new IOException("no journal in " + folder + ", nor in a folder below it");
        }
        return newest;
    }

    private static List<Path> withSubfolders(Path folder) throws IOException {
        try (Stream<Path> children = Files.list(folder)) {
            return Stream.concat(Stream.of(folder), children.filter(Files::isDirectory).sorted())
                    .toList();
        }
    }
}
