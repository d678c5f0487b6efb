package thornferry.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
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
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import thornferry.bench.WireColumns.BatchStart;
import thornferry.bench.WireColumns.Configure;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.placement.Placement.Settings;
import thornferry.decisions.placement.Policy;
import thornferry.settings.LoadReportFields;
import thornferry.settings.SettingsException;
import thornferry.settings.SettingsReader;

/**
 * Hosts placement modules for the simulator: reads batches of messages, passes their events to the
 * modules, and writes the modules' actions as the reply to each batch.
 */
public final class SimHost {
    private static final String COMMAND = "simhost";
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int READ_BUFFER_CHARS = 1 << 16;
    private static final ObjectMapper JSON = new ObjectMapper();

    private record Instance(Placement module, LoadReportFields reportFields) {}

    private final Function<Settings, Placement> moduleFactory;
    private final Map<String, Instance> instances = new HashMap<>();
    private final MachineListDecoder machineLists = new MachineListDecoder();
    private final EventDecoder eventDecoder = new EventDecoder(machineLists);
    private long nowMicros;
    private Optional<JsonNode> openBatchNumber = Optional.empty(); // as it was sent, for the reply
    private StringBuilder reply = new StringBuilder();

    /**
     * @param moduleFactory creates the module of each instance
     */
    SimHost(Function<Settings, Placement> moduleFactory) {
        this.moduleFactory = moduleFactory;
    }

    /** Serves the simulator on standard input and output. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals(COMMAND)) {
            System.err.println("usage: java -jar thornferry.jar simhost");
            System.exit(EXIT_USAGE);
        }
        System.exit(serve(System.in, System.out, System.err));
    }

    /**
     * Serves the simulator with the project's policy until the input ends; returns the exit code.
     */
    public static int serve(InputStream in, OutputStream out, PrintStream err) {
        return new SimHost(Policy::new).run(in, out, err);
    }

    /** Serves the simulator until the input ends; returns the exit code. */
    int run(InputStream in, OutputStream out, PrintStream err) {
        long lineNumber = 0;
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(in, StandardCharsets.UTF_8), READ_BUFFER_CHARS)) {
            Writer writer = new OutputStreamWriter(out, StandardCharsets.UTF_8);
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                lineNumber++;
                if (!line.isBlank()) {
                    handleMessage(line, writer);
                }
            }
            if (openBatchNumber.isPresent()) {
                throw new WireException("the input ended inside batch " + openBatchNumber.get());
            }
            return EXIT_OK;
        } catch (WireException e) {
            err.println("thornferry: line " + lineNumber + ": " + e.getMessage());
        } catch (IOException e) {
            err.println(
                    "thornferry: cannot read from or write to the simulator: " + e.getMessage());
        }
        return EXIT_FAILED;
    }

    private void handleMessage(String line, Writer writer) throws WireException, IOException {
        WireRow row = parse(line);
        Optional<MessageType> type = MessageType.ofWireName(row.message());
        if (type.isEmpty()) {
            return; // this version does not know the message
        }
        switch (type.get()) {
            case BATCH_START -> startBatch(row);
            case BATCH_END -> endBatch(row, writer);
            default -> handleInBatch(type.get(), row);
        }
    }

    private static WireRow parse(String line) throws WireException {
        JsonNode values;
        try {
            values = JSON.readTree(line);
        } catch (JsonProcessingException e) {
            throw new WireException("not JSON: " + e.getOriginalMessage());
        }
        if (!values.isArray() || values.isEmpty() || !values.get(0).isTextual()) {
            throw new WireException("a message must be a JSON array that begins with its name");
        }
        return new WireRow(values.get(0).textValue(), values);
    }

    private void startBatch(WireRow row) throws WireException {
        if (openBatchNumber.isPresent()) {
            throw row.error("batch " + openBatchNumber.get() + " has not ended");
        }
        nowMicros = row.integer(BatchStart.CLOCK_MICROS);
        row.integer(BatchStart.BATCH_NUMBER);
        openBatchNumber = Optional.of(row.value(BatchStart.BATCH_NUMBER));
    }

    private void endBatch(WireRow row, Writer writer) throws WireException, IOException {
        JsonNode batchNumber = openBatchNumber.orElseThrow(() -> row.error("no batch is open"));
        ActionEncoder.writeBatchDone(reply, batchNumber);
        openBatchNumber = Optional.empty();
        writer.append(reply);
        writer.flush();
        reply = new StringBuilder();
    }

    private void handleInBatch(MessageType type, WireRow row) throws WireException {
        if (openBatchNumber.isEmpty()) {
            throw row.error("was sent outside a batch");
        }
        if (type == MessageType.MACHINE_LIST) {
            machineLists.store(row);
            return;
        }
        String instance = row.text(WireColumns.INSTANCE);
        if (type == MessageType.CONFIGURE) {
            configure(instance, row);
            return;
        }
        if (!instances.containsKey(instance)) {
            throw row.error("unknown instance " + instance);
        }
        if (type == MessageType.DESTROY) {
            instances.remove(instance);
        } else {
            passEvent(instance, type, row);
        }
    }

    private void configure(String instance, WireRow row) throws WireException {
        Settings settings = readSettings(row);
        LoadReportFields reportFields =
                SettingsReader.loadReportFields(row.value(Configure.SETTINGS));
        Placement module;
        try {
            module = moduleFactory.apply(settings);
        } catch (RuntimeException e) {
            throw row.error(e.getMessage());
        }
        instances.put(instance, new Instance(module, reportFields));
    }

    private static Settings readSettings(WireRow row) throws WireException {
        long seed = row.integer(Configure.SEED);
        JsonNode settings = row.value(Configure.SETTINGS);
        if (!settings.isObject()) {
            throw row.error(Configure.SETTINGS, "not an object");
        }
        try {
            return SettingsReader.read(settings, seed);
        } catch (SettingsException e) {
            throw row.error(e.getMessage());
        }
    }

    private void passEvent(String name, MessageType type, WireRow row) throws WireException {
        Instance instance = instances.get(name);
        Optional<Placement.Event> event = eventDecoder.decode(type, row, instance.reportFields());
        if (event.isEmpty()) {
            return;
        }
        try {
            instance.module()
                    .handle(
                            nowMicros,
                            event.get(),
                            action -> ActionEncoder.writeAction(reply, name, action));
        } catch (RuntimeException e) {
            ActionEncoder.writeFailure(reply, name, e);
        }
    }
}
