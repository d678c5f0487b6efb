package thornferry.bench.stores;

import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;

import java.nio.file.Path;
import java.util.List;

/** Keeps records in a map of H2's MVStore. */
final class MvStore implements RecordStore {
    private final MVStore store;
    private final MVMap<Long, byte[]> map;

    private MvStore(MVStore store) {
        this.store = store;
        map = store.openMap("records");
    }

    static MvStore open(Path folder) {
        return new MvStore(
                new MVStore.Builder()
                        .fileName(folder.resolve("mv").toString())
                        .autoCommitDisabled()
                        .open());
    }

    @Override
    public void commit(long firstNumber, List<byte[]> records) {
        for (int i = 0; i < records.size(); i++) {
            map.put(firstNumber + i, records.get(i));
        }
        store.commit();
        store.sync();
    }

    @Override
    public void close() {
        store.close();
    }
}
