package thornferry.bench.stores;

import org.HdrHistogram.Histogram;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

/**
 * Measures how long a record of 200 bytes takes to become durable, by store and rate, each with the
 * same group commit. Records arrive in an open loop; latencies count from when a record was due.
 */
public final class StoreComparison {
    private static final List<Candidate> CANDIDATES =
            List.of(
                    new Candidate("own file", FileStore::open),
                    new Candidate("H2 MVStore", MvStore::open),
                    new Candidate("SQLite (WAL)", SqliteStore::open),
                    new Candidate("RocksDB", RocksDbStore::open));
    private static final List<Double> RECORDS_PER_SECOND = List.of(130.0, 5_000.0);
    private static final int DEFAULT_SECONDS = 8;
    private static final int RECORD_BYTES = 200;
    private static final long SEED = 1;
    private static final long POLL_NANOS = 50_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int BYTES_TO_MEGABYTES_SHIFT = 20;

    private record Candidate(String name, RecordStore.Factory factory) {}

    private StoreComparison() {}

    /** Runs the comparison; the only argument is the duration of each measurement in seconds. */
    public static void main(String[] args) throws Exception {
        int seconds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SECONDS;
        runAll(seconds, false); // warms up the JVM
        runAll(seconds, true);
    }

    private static void runAll(int seconds, boolean print) throws Exception {
        for (double rate : RECORDS_PER_SECOND) {
            for (Candidate candidate : CANDIDATES) {
                String line = run(candidate, rate, seconds);
                if (print) {
                    System.out.println(line);
                }
            }
        }
    }

    private static String run(Candidate candidate, double rate, int seconds) throws Exception {
        Path folder = Files.createTempDirectory("thornferry-stores");
        String result;
        try (RecordStore store = candidate.factory().open(folder)) {
            result = measure(store, rate, seconds);
        }
        return String.format(
                "%5.0f a second  %-13s %s, %d MB",
                rate,
                candidate.name(),
                result,
                deleteRecursively(folder) >> BYTES_TO_MEGABYTES_SHIFT);
    }

    private static String measure(RecordStore store, double rate, int seconds) {
        GroupCommitWriter writer = new GroupCommitWriter(store);
        writer.start();
        generate(writer, rate, seconds);
        try {
            return format(writer.finish());
        } catch (Exception e) {
            return "failed: " + e;
        }
    }

    private static void generate(GroupCommitWriter writer, double rate, int seconds) {
        SplittableRandom random = new SplittableRandom(SEED);
        byte[] record = new byte[RECORD_BYTES];
        long beginNanos = System.nanoTime();
        double nextNanos = beginNanos;
        while (nextNanos < beginNanos + seconds * NANOS_PER_SECOND) {
            long now = System.nanoTime();
            while (nextNanos <= now) {
                writer.add((long) nextNanos, record);
                nextNanos += -Math.log(1 - random.nextDouble()) / rate * NANOS_PER_SECOND;
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static String format(GroupCommitWriter.Result result) {
        Histogram latencyNanos = result.latencyNanos();
        return String.format(
                "p50 %.2f ms, p99 %.2f ms, most %.1f ms, %.1f promises a commit",
                latencyNanos.getValueAtPercentile(50) / NANOS_PER_MILLI,
                latencyNanos.getValueAtPercentile(99) / NANOS_PER_MILLI,
                latencyNanos.getMaxValue() / NANOS_PER_MILLI,
                result.recordsPerCommit());
    }

    /** Deletes a folder and returns the size of the files in it. */
    private static long deleteRecursively(Path folder) throws IOException {
        long bytes = 0;
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                bytes += Files.isRegularFile(file) ? Files.size(file) : 0;
                Files.delete(file);
            }
        }
        return bytes;
    }
}
