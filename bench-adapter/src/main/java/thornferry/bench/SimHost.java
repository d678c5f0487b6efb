package thornferry.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import thornferry.bench.WireCodec.WireException;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.placement.Placement.MachineEntry;
import thornferry.decisions.placement.Placement.Settings;
import thornferry.decisions.placement.Policy;
import thornferry.settings.LoadReportFields;

/**
 * Hosts placement modules for the simulator: reads its batches, writes the modules' replies,
 * decides nothing.
 */
public final class SimHost {
    private record Instance(Placement module, LoadReportFields reportFields) {}

    private final Function<Settings, Placement> maker;
    private final Map<String, Instance> instances = new HashMap<>();
    private final Map<Long, List<MachineEntry>> tables = new HashMap<>();
    private long now;
    private JsonNode batch;
    private StringBuilder reply = new StringBuilder();

    SimHost(Function<Settings, Placement> maker) {
        this.maker = maker;
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -jar thornferry.jar simhost");
            System.exit(2);
        }
        System.exit(serve(System.in, System.out, System.err));
    }

    /** Serves the project's own module until the input ends; returns the exit code. */
    public static int serve(InputStream in, OutputStream out, PrintStream err) {
        return new SimHost(Policy::new).run(in, out, err);
    }

    /** Serves until the input ends; returns the exit code. */
    int run(InputStream in, OutputStream out, PrintStream err) {
        long lineNumber = 0;
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16)) {
            Writer writer = new OutputStreamWriter(out, StandardCharsets.UTF_8);
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                lineNumber++;
                if (line.isBlank()) {
                    continue;
                }
                if (message(line)) {
                    writer.append(reply);
                    writer.flush();
                    reply = new StringBuilder();
                }
            }
            if (batch != null) {
                throw new WireException("the input ended inside batch " + batch);
            }
            return 0;
        } catch (WireException e) {
            err.println("thornferry: line " + lineNumber + ": " + e.getMessage());
        } catch (IOException e) {
            err.println("thornferry: cannot read or write the wire: " + e.getMessage());
        }
        return 1;
    }

    /** Takes one line; true when it ended a batch, so that the reply is due. */
    private boolean message(String line) throws WireException {
        JsonNode row;
        try {
            row = WireCodec.JSON.readTree(line);
        } catch (JsonProcessingException e) {
            throw new WireException("not JSON: " + e.getOriginalMessage());
        }
        if (!row.isArray() || row.isEmpty() || !row.get(0).isTextual()) {
            throw new WireException("a message must be an array that begins with its name");
        }
        String name = row.get(0).textValue();
        if (name.equals("mark")) {
            if (batch != null) {
                throw new WireException("mark: batch " + batch + " has not ended");
            }
            now = WireCodec.integer(row, 1, "mark clock");
            WireCodec.integer(row, 2, "mark batch number");
            batch = row.get(2);
            return false;
        }
        if (name.equals("eob")) {
            if (batch == null) {
                throw new WireException("eob: no batch is open");
            }
            reply.append("[\"done\",").append(batch).append("]\n");
            batch = null;
            return true;
        }
        if (!WireCodec.EVENTS.contains(name)) {
            return false;
        }
        if (batch == null) {
            throw new WireException(name + ": comes outside a batch");
        }
        event(name, row);
        return false;
    }

    private void event(String name, JsonNode row) throws WireException {
        if (name.equals("manifest")) {
            tables.put(WireCodec.integer(row, 1, "manifest table"), WireCodec.entries(row));
            return;
        }
        String placer = WireCodec.text(row, 1, name + " placer");
        if (name.equals("configure")) {
            configure(placer, row);
            return;
        }
        Instance instance = instances.get(placer);
        if (instance == null) {
            throw new WireException(name + ": unknown instance " + placer);
        }
        if (name.equals("destroy")) {
            instances.remove(placer);
            return;
        }
        Placement.Event event = WireCodec.event(name, row, tables, instance.reportFields());
        if (event != null) {
            try {
                instance.module().on(now, event, action -> WireCodec.write(reply, placer, action));
            } catch (RuntimeException e) {
                WireCodec.write(reply, "fatal", placer, e.toString());
            }
        }
    }

    private void configure(String placer, JsonNode row) throws WireException {
        Settings settings = WireCodec.settings(row);
        try {
            instances.put(placer, new Instance(maker.apply(settings), WireCodec.reportFields(row)));
        } catch (RuntimeException e) {
            throw new WireException("configure: " + e.getMessage());
        }
    }
}
