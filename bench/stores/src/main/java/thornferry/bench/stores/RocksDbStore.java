package thornferry.bench.stores;

import org.rocksdb.Options;
import org.rocksdb.RocksDB;
import org.rocksdb.RocksDBException;
import org.rocksdb.WriteBatch;
import org.rocksdb.WriteOptions;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/** Keeps records in RocksDB, with synchronous writes. */
final class RocksDbStore implements RecordStore {
    private final RocksDB database;
    private final WriteOptions synchronous = new WriteOptions().setSync(true);

    private RocksDbStore(RocksDB database) {
        this.database = database;
    }

    static RocksDbStore open(Path folder) throws RocksDBException {
        Options options = new Options().setCreateIfMissing(true);
        return new RocksDbStore(RocksDB.open(options, folder.resolve("rocks").toString()));
    }

    @Override
    public void commit(long firstNumber, List<byte[]> records) throws RocksDBException {
        try (WriteBatch batch = new WriteBatch()) {
            for (int i = 0; i < records.size(); i++) {
                batch.put(key(firstNumber + i), records.get(i));
            }
            database.write(synchronous, batch);
        }
    }

    private static byte[] key(long number) {
        return ByteBuffer.allocate(Long.BYTES).putLong(number).array();
    }

    @Override
    public void close() {
        database.close();
    }
}
