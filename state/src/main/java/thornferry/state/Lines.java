package thornferry.state;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import thornferry.decisions.Attempts.Fate;
import thornferry.decisions.Intake;
import thornferry.decisions.Placement.Effect;
import thornferry.decisions.recovery.Promise;
import thornferry.state.v1.Answered;
import thornferry.state.v1.Finished;
import thornferry.state.v1.Line;
import thornferry.state.v1.NeverRan;
import thornferry.state.v1.Offered;
import thornferry.state.v1.Wish;

/** The form of a line: length (4 octets), CRC-32C of length and body (4 octets), body. */
final class Lines {
    static final int PREFIX = 8;

    /** No line is longer: ids, keys and names have limits of their own far below it. */
    static final int MOST = 1 << 16;

    private Lines() {}

    static byte[] framed(MessageLite message) {
        byte[] body = message.toByteArray();
        ByteBuffer framed = ByteBuffer.allocate(PREFIX + body.length);
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

    static Line of(Promise p) {
        Line.Builder line = Line.newBuilder().setAt(p.at());
        if (p instanceof Promise.Offered o) {
            line.setOffered(
                    Offered.newBuilder()
                            .setAttempt(o.attempt())
                            .setOwner(o.owner())
                            .setTenant(o.tenant())
                            .setWish(of(o.wish()))
                            .setEffect(o.effect().name())
                            .setMachine(o.machine())
                            .setIncarnation(o.incarnation()));
        } else if (p instanceof Promise.NeverRan n) {
            line.setNeverRan(
                    NeverRan.newBuilder()
                            .setOwner(n.owner())
                            .setTask(n.task())
                            .setAttempt(n.attempt()));
        } else if (p instanceof Promise.Answered a) {
            line.setAnswered(
                    Answered.newBuilder()
                            .setOwner(a.owner())
                            .setTenant(a.tenant())
                            .setWish(of(a.wish()))
                            .setEffect(a.effect().name())
                            .setResult(a.result().name())
                            .setMachine(a.machine())
                            .setReason(a.reason()));
        } else if (p instanceof Promise.Finished f) {
            line.setFinished(
                    Finished.newBuilder()
                            .setOwner(f.owner())
                            .setTask(f.task())
                            .setFate(f.fate().name()));
        }
        return line.build();
    }

    private static Wish of(Intake.Wish w) {
        return Wish.newBuilder()
                .setId(w.id())
                .setTaskClass(w.taskClass())
                .setService(w.service())
                .setKey(w.key())
                .setCores(w.cores())
                .setMemory(w.memory())
                .setRunsFor(w.runsFor())
                .build();
    }

    /**
     * @throws InvalidProtocolBufferException where it is of no type that this version knows
     */
    static Promise promise(Line line) throws InvalidProtocolBufferException {
        try {
            return switch (line.getLineCase()) {
                case OFFERED -> {
                    Offered o = line.getOffered();
                    yield new Promise.Offered(
                            line.getAt(),
                            o.getAttempt(),
                            o.getOwner(),
                            o.getTenant(),
                            wish(o.getWish()),
                            Effect.valueOf(o.getEffect()),
                            o.getMachine(),
                            o.getIncarnation());
                }
                case NEVER_RAN ->
                        new Promise.NeverRan(
                                line.getAt(),
                                line.getNeverRan().getOwner(),
                                line.getNeverRan().getTask(),
                                line.getNeverRan().getAttempt());
                case ANSWERED -> {
                    Answered a = line.getAnswered();
                    yield new Promise.Answered(
                            line.getAt(),
                            a.getOwner(),
                            a.getTenant(),
                            wish(a.getWish()),
                            Effect.valueOf(a.getEffect()),
                            Intake.Result.valueOf(a.getResult()),
                            a.getMachine(),
                            a.getReason());
                }
                case FINISHED ->
                        new Promise.Finished(
                                line.getAt(),
                                line.getFinished().getOwner(),
                                line.getFinished().getTask(),
                                Fate.valueOf(line.getFinished().getFate()));
                default ->
                        throw new InvalidProtocolBufferException(
                                "a line of a type that this version does not know");
            };
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException(
                    "a line with a word that this version does not know");
        }
    }

    private static Intake.Wish wish(Wish w) {
        return new Intake.Wish(
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
