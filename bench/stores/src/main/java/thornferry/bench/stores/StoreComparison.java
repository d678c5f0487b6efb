package thornferry.bench.stores;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.Statement;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.zip.CRC32C;
import org.HdrHistogram.Histogram;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.rocksdb.Options;
import org.rocksdb.RocksDB;
import org.rocksdb.WriteBatch;
import org.rocksdb.WriteOptions;

/**
 * How long a promise of 200 octets takes to be on the disk, by store and rate, each with the same group commit: what comes up
 * during one force goes with the next. Open loop; times count from when a promise was due.
 */
public final class StoreComparison {
    private interface Store extends AutoCloseable {
        /** Writes these with numbers from {@code first} on and returns when they are on the disk. */
        void commit(long first, List<byte[]> promises) throws Exception;
    }

    private static Store file(Path folder) throws IOException {
        FileChannel out = FileChannel.open(folder.resolve("log"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        return new Store() {
            @Override
            public void commit(long first, List<byte[]> promises) throws IOException {
                ByteBuffer all = ByteBuffer.allocate(promises.stream().mapToInt(p -> p.length + 8).sum());
                for (byte[] p : promises) {
                    CRC32C crc = new CRC32C();
                    crc.update(p);
                    all.putInt(p.length).putInt((int) crc.getValue()).put(p);
                }
                all.flip();
                while (all.hasRemaining()) {
                    out.write(all);
                }
                out.force(false);
            }

            @Override
            public void close() throws IOException {
                out.close();
            }
        };
    }

    private static Store mvstore(Path folder) {
        MVStore store = new MVStore.Builder().fileName(folder.resolve("mv").toString()).autoCommitDisabled().open();
        MVMap<Long, byte[]> map = store.openMap("promises");
        return new Store() {
            @Override
            public void commit(long first, List<byte[]> promises) {
                for (int i = 0; i < promises.size(); i++) {
                    map.put(first + i, promises.get(i));
                }
                store.commit();
                store.sync();
            }

            @Override
            public void close() {
                store.close();
            }
        };
    }

    private static Store sqlite(Path folder) throws Exception {
        Connection c = DriverManager.getConnection("jdbc:sqlite:" + folder.resolve("sqlite"));
        try (Statement s = c.createStatement()) {
            s.execute("pragma journal_mode=wal");
            s.execute("pragma synchronous=full");
            s.execute("create table promises (n integer primary key, p blob)");
        }
        c.setAutoCommit(false);
        PreparedStatement insert = c.prepareStatement("insert into promises values (?, ?)");
        return new Store() {
            @Override
            public void commit(long first, List<byte[]> promises) throws Exception {
                for (int i = 0; i < promises.size(); i++) {
                    insert.setLong(1, first + i);
                    insert.setBytes(2, promises.get(i));
                    insert.addBatch();
                }
                insert.executeBatch();
                c.commit();
            }

            @Override
            public void close() throws Exception {
                c.close();
            }
        };
    }

    private static Store rocks(Path folder) throws Exception {
        RocksDB db = RocksDB.open(new Options().setCreateIfMissing(true), folder.resolve("rocks").toString());
        WriteOptions sync = new WriteOptions().setSync(true);
        return new Store() {
            @Override
            public void commit(long first, List<byte[]> promises) throws Exception {
                try (WriteBatch batch = new WriteBatch()) {
                    for (int i = 0; i < promises.size(); i++) {
                        batch.put(ByteBuffer.allocate(8).putLong(first + i).array(), promises.get(i));
                    }
                    db.write(sync, batch);
                }
            }

            @Override
            public void close() {
                db.close();
            }
        };
    }

    private record Due(long at, byte[] promise) { }

    private static String measure(Store store, double rate, int seconds) throws Exception {
        ArrayDeque<Due> queue = new ArrayDeque<>();
        Histogram times = new Histogram(60_000_000_000L, 3);
        long[] commits = {0, 0};
        boolean[] over = {false};
        Throwable[] failed = {null};
        Thread writer = new Thread(() -> {
            try {
                while (true) {
                    List<Due> batch = new ArrayList<>();
                    synchronized (queue) {
                        while (queue.isEmpty() && !over[0]) {
                            queue.wait();
                        }
                        batch.addAll(queue);
                        queue.clear();
                    }
                    if (batch.isEmpty()) {
                        return;
                    }
                    store.commit(commits[1], batch.stream().map(Due::promise).toList());
                    long now = System.nanoTime();
                    batch.forEach(d -> times.recordValue(now - d.at()));
                    commits[0]++;
                    commits[1] += batch.size();
                }
            } catch (Exception e) {
                failed[0] = e;
            }
        });
        writer.start();
        SplittableRandom random = new SplittableRandom(1);
        byte[] promise = new byte[200];
        long begin = System.nanoTime();
        double next = begin;
        while (next < begin + seconds * 1e9) {
            long now = System.nanoTime();
            while (next <= now) {
                synchronized (queue) {
                    queue.add(new Due((long) next, promise));
                    queue.notify();
                }
                next += -Math.log(1 - random.nextDouble()) / rate * 1e9;
            }
            LockSupport.parkNanos(50_000);
        }
        synchronized (queue) {
            over[0] = true;
            queue.notify();
        }
        writer.join();
        if (failed[0] != null) {
            return "failed: " + failed[0];
        }
        return String.format("p50 %.2f ms, p99 %.2f ms, most %.1f ms, %.1f promises a commit", times.getValueAtPercentile(50) / 1e6,
            times.getValueAtPercentile(99) / 1e6, times.getMaxValue() / 1e6, (double) commits[1] / commits[0]);
    }

    private interface Opening {
        Store open(Path folder) throws Exception;
    }

    public static void main(String[] args) throws Exception {
        int seconds = args.length > 0 ? Integer.parseInt(args[0]) : 8;
        for (int round = 0; round < 2; round++) { // the first warms up
            for (double rate : new double[] {130, 5_000}) {
                one("own file", StoreComparison::file, rate, seconds, round);
                one("H2 MVStore", StoreComparison::mvstore, rate, seconds, round);
                one("SQLite (WAL)", StoreComparison::sqlite, rate, seconds, round);
                one("RocksDB", StoreComparison::rocks, rate, seconds, round);
            }
        }
    }

    private static void one(String name, Opening opening, double rate, int seconds, int round) throws Exception {
        Path folder = Files.createTempDirectory("thornferry-stores");
        String line;
        try (Store store = opening.open(folder)) {
            line = measure(store, rate, seconds);
        }
        long octets = 0;
        try (var all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                octets += Files.isRegularFile(p) ? Files.size(p) : 0;
                Files.delete(p);
            }
        }
        if (round > 0) {
            System.out.printf("%5.0f a second  %-13s %s, %d MB%n", rate, name, line, octets >> 20);
        }
    }
}
