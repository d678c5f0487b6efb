package thornferry.app;

import com.google.protobuf.Message;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import thornferry.protocol.Bodies;

/**
 * A command that queries the placer once and prints the answer, as a table or as JSON.
 *
 * @param <M> the answer
 */
abstract class QueryCommand<M extends Message> implements Callable<Integer> {
    @Mixin private PlacerOptions placer;

    @Option(names = "--json", description = "Print one line of JSON.")
    private boolean json;

    /** Sends the query and waits for its answer. */
    abstract M query(PlacerClient client) throws IOException;

    /** Prints the answer as a table. */
    abstract void printTable(M answer);

    PlacerClient client() {
        return placer.client();
    }

    @Override
    public Integer call() throws IOException {
        M answer = query(client());
        if (json) {
            System.out.println(Bodies.json(answer));
        } else {
            printTable(answer);
        }
        return ExitCode.OK;
    }
}
