package thornferry.state;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.requests.TaskSpec;
import thornferry.state.v1.Answered;
import thornferry.state.v1.Finished;
import thornferry.state.v1.Line;
import thornferry.state.v1.NeverRan;
import thornferry.state.v1.Offered;
import thornferry.state.v1.Wish;

/** The form of a line: length (4 octets), CRC-32C of length and body (4 octets), body. */
final class RecordCodec {
    static final int HEADER_BYTES = 8;

    /** No line is longer: ids, keys and names have limits of their own far below it. */
    static final int MAX_BODY_BYTES = 1 << 16;

    private RecordCodec() {}

    static byte[] frame(MessageLite message) {
        byte[] body = message.toByteArray();
        ByteBuffer framed = ByteBuffer.allocate(HEADER_BYTES + body.length);
        framed.putInt(body.length).putInt(crc(body, 0, body.length)).put(body);
        return framed.array();
    }

    /** Of the length too, so that a run of zeros is no line. */
    static int crc(byte[] in, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(length >>> 24);
        crc.update(length >>> 16);
        crc.update(length >>> 8);
        crc.update(length);
        crc.update(in, from, length);
        return (int) crc.getValue();
    }

    static Line encode(JournalRecord p) {
        Line.Builder line = Line.newBuilder().setAt(p.atMicros());
        if (p instanceof JournalRecord.Offered o) {
            line.setOffered(
                    Offered.newBuilder()
                            .setAttempt(o.attempt())
                            .setOwner(o.owner())
                            .setTenant(o.tenant())
                            .setWish(encode(o.spec()))
                            .setEffect(JournalWords.of(o.idempotency()))
                            .setMachine(o.machine())
                            .setIncarnation(o.incarnation()));
        } else if (p instanceof JournalRecord.NeverRan n) {
            line.setNeverRan(
                    NeverRan.newBuilder()
                            .setOwner(n.owner())
                            .setTask(n.task())
                            .setAttempt(n.attempt()));
        } else if (p instanceof JournalRecord.Completed a) {
            line.setAnswered(
                    Answered.newBuilder()
                            .setOwner(a.owner())
                            .setTenant(a.tenant())
                            .setWish(encode(a.spec()))
                            .setEffect(JournalWords.of(a.idempotency()))
                            .setResult(JournalWords.of(a.result()))
                            .setMachine(a.machine())
                            .setReason(a.reason()));
        } else if (p instanceof JournalRecord.Finished f) {
            line.setFinished(
                    Finished.newBuilder()
                            .setOwner(f.owner())
                            .setTask(f.task())
                            .setFate(JournalWords.of(f.terminationCause())));
        }
        return line.build();
    }

    private static Wish encode(TaskSpec w) {
        return Wish.newBuilder()
                .setId(w.id())
                .setTaskClass(w.taskClass())
                .setService(w.service())
                .setKey(w.idempotencyKey())
                .setCores(w.cores())
                .setMemory(w.memory())
                .setRunsFor(w.expectedRunMicros())
                .build();
    }

    /**
     * @throws InvalidProtocolBufferException where it is of no type that this version knows
     */
    static JournalRecord decode(Line line) throws InvalidProtocolBufferException {
        try {
            return switch (line.getLineCase()) {
                case OFFERED -> {
                    Offered o = line.getOffered();
                    yield new JournalRecord.Offered(
                            line.getAt(),
                            o.getAttempt(),
                            o.getOwner(),
                            o.getTenant(),
                            wish(o.getWish()),
                            JournalWords.idempotency(o.getEffect()),
                            o.getMachine(),
                            o.getIncarnation());
                }
                case NEVER_RAN ->
                        new JournalRecord.NeverRan(
                                line.getAt(),
                                line.getNeverRan().getOwner(),
                                line.getNeverRan().getTask(),
                                line.getNeverRan().getAttempt());
                case ANSWERED -> {
                    Answered a = line.getAnswered();
                    yield new JournalRecord.Completed(
                            line.getAt(),
                            a.getOwner(),
                            a.getTenant(),
                            wish(a.getWish()),
                            JournalWords.idempotency(a.getEffect()),
                            JournalWords.result(a.getResult()),
                            a.getMachine(),
                            a.getReason());
                }
                case FINISHED ->
                        new JournalRecord.Finished(
                                line.getAt(),
                                line.getFinished().getOwner(),
                                line.getFinished().getTask(),
                                JournalWords.terminationCause(line.getFinished().getFate()));
                default ->
                        throw new InvalidProtocolBufferException(
                                "a line of a type that this version does not know");
            };
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException(
                    "a line with a word that this version does not know");
        }
    }

    private static TaskSpec wish(Wish w) {
        return new TaskSpec(
                w.getId(),
                w.getTaskClass(),
                w.getService(),
                w.getKey(),
                w.getCores(),
                w.getMemory(),
                null,
                w.getRunsFor());
    }
}
