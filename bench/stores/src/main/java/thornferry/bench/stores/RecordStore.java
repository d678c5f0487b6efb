package thornferry.bench.stores;

import java.nio.file.Path;
import java.util.List;

/** A store of numbered records. */
interface RecordStore extends AutoCloseable {
    /** Opens a new store. */
    interface Factory {
        /** Opens a store in an empty folder. */
        RecordStore open(Path folder) throws Exception;
    }

    /**
     * Writes records and returns when they are durable on disk.
     *
     * @param firstNumber number of the first record; the others follow
     */
    void commit(long firstNumber, List<byte[]> records) throws Exception;
}
