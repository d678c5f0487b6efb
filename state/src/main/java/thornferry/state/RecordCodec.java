package thornferry.state;

import com.google.protobuf.InvalidProtocolBufferException;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.requests.TaskSpec;
import thornferry.state.v1.Completed;
import thornferry.state.v1.Entry;
import thornferry.state.v1.Finished;
import thornferry.state.v1.NeverRan;
import thornferry.state.v1.Offered;
import thornferry.state.v1.StoredTaskSpec;

/** Converts journal records to entries of a journal file, and entries to records. */
final class RecordCodec {
    private RecordCodec() {}

    /** Returns the frame that contains the entry of a record. */
    static byte[] frame(JournalRecord journalRecord) {
        return FrameFormat.frame(encode(journalRecord));
    }

    static Entry encode(JournalRecord journalRecord) {
        Entry.Builder entry = Entry.newBuilder().setAtMicros(journalRecord.atMicros());
        if (journalRecord instanceof JournalRecord.Offered offered) {
            entry.setOffered(encode(offered));
        } else if (journalRecord instanceof JournalRecord.NeverRan neverRan) {
            entry.setNeverRan(encode(neverRan));
        } else if (journalRecord instanceof JournalRecord.Completed completed) {
            entry.setCompleted(encode(completed));
        } else if (journalRecord instanceof JournalRecord.Finished finished) {
            entry.setFinished(encode(finished));
        }
        return entry.build();
    }

    private static Offered encode(JournalRecord.Offered offered) {
        return Offered.newBuilder()
                .setAttempt(offered.attempt())
                .setOwner(offered.owner())
                .setTenant(offered.tenant())
                .setTaskSpec(encode(offered.spec()))
                .setIdempotency(StoredNames.storedName(offered.idempotency()))
                .setMachine(offered.machine())
                .setIncarnation(offered.incarnation())
                .build();
    }

    private static NeverRan encode(JournalRecord.NeverRan neverRan) {
        return NeverRan.newBuilder()
                .setOwner(neverRan.owner())
                .setTask(neverRan.task())
                .setAttempt(neverRan.attempt())
                .build();
    }

    private static Completed encode(JournalRecord.Completed completed) {
        return Completed.newBuilder()
                .setOwner(completed.owner())
                .setTenant(completed.tenant())
                .setTaskSpec(encode(completed.spec()))
                .setIdempotency(StoredNames.storedName(completed.idempotency()))
                .setResult(StoredNames.storedName(completed.result()))
                .setMachine(completed.machine())
                .setReason(completed.reason())
                .build();
    }

    private static Finished encode(JournalRecord.Finished finished) {
        return Finished.newBuilder()
                .setOwner(finished.owner())
                .setTask(finished.task())
                .setTerminationCause(StoredNames.storedName(finished.terminationCause()))
                .build();
    }

    private static StoredTaskSpec encode(TaskSpec spec) {
        return StoredTaskSpec.newBuilder()
                .setId(spec.id())
                .setTaskClass(spec.taskClass())
                .setService(spec.service())
                .setIdempotencyKey(spec.idempotencyKey())
                .setCores(spec.cores())
                .setMemory(spec.memory())
                .setExpectedRunMicros(spec.expectedRunMicros())
                .build();
    }

    /**
     * Returns the record of an entry.
     *
     * @throws InvalidProtocolBufferException if this version does not know the type of the entry,
     *     or the name of an enumerated value in it
     */
    static JournalRecord decode(Entry entry) throws InvalidProtocolBufferException {
        long atMicros = entry.getAtMicros();
        try {
            return switch (entry.getKindCase()) {
                case OFFERED -> decode(atMicros, entry.getOffered());
                case NEVER_RAN -> decode(atMicros, entry.getNeverRan());
                case COMPLETED -> decode(atMicros, entry.getCompleted());
                case FINISHED -> decode(atMicros, entry.getFinished());
                default ->
                        throw new InvalidProtocolBufferException(
                                "has an entry of a type that this version does not know");
            };
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException(
                    "has an entry with a value that this version does not know");
        }
    }

    private static JournalRecord.Offered decode(long atMicros, Offered offered) {
        return new JournalRecord.Offered(
                atMicros,
                offered.getAttempt(),
                offered.getOwner(),
                offered.getTenant(),
                decode(offered.getTaskSpec()),
                StoredNames.idempotency(offered.getIdempotency()),
                offered.getMachine(),
                offered.getIncarnation());
    }

    private static JournalRecord.NeverRan decode(long atMicros, NeverRan neverRan) {
        return new JournalRecord.NeverRan(
                atMicros, neverRan.getOwner(), neverRan.getTask(), neverRan.getAttempt());
    }

    private static JournalRecord.Completed decode(long atMicros, Completed completed) {
        return new JournalRecord.Completed(
                atMicros,
                completed.getOwner(),
                completed.getTenant(),
                decode(completed.getTaskSpec()),
                StoredNames.idempotency(completed.getIdempotency()),
                StoredNames.result(completed.getResult()),
                completed.getMachine(),
                completed.getReason());
    }

    private static JournalRecord.Finished decode(long atMicros, Finished finished) {
        return new JournalRecord.Finished(
                atMicros,
                finished.getOwner(),
                finished.getTask(),
                StoredNames.terminationCause(finished.getTerminationCause()));
    }

    private static TaskSpec decode(StoredTaskSpec stored) {
        return new TaskSpec(
                stored.getId(),
                stored.getTaskClass(),
                stored.getService(),
                stored.getIdempotencyKey(),
                stored.getCores(),
                stored.getMemory(),
                null,
                stored.getExpectedRunMicros());
    }
}
