package thornferry.app;

import com.google.protobuf.Message;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import thornferry.protocol.Bodies;

/**
 * A command that queries the placer once and prints the response as a table or as JSON.
 *
 * @param <M> type of the response
 */
abstract class QueryCommand<M extends Message> implements Callable<Integer> {
    @Mixin private PlacerOptions placer;

    @Option(names = "--json", description = "Prints the response as one line of JSON.")
    private boolean json;

    /** Sends the query and waits for the response. */
    abstract M query(PlacerClient client) throws IOException;

    /** Prints the response as a table. */
    abstract void printTable(M response);

    PlacerClient client() {
        return placer.client();
    }

    @Override
    public Integer call() throws IOException {
        M response = query(client());
        if (json) {
            System.out.println(Bodies.json(response));
        } else {
            printTable(response);
        }
        return ExitCode.OK;
    }
}
