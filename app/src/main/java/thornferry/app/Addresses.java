package thornferry.app;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.stream.IntStream;
import picocli.CommandLine;

/** Parses addresses of placers: HOST:PORT, or HOST:PORT-PORT for a range of ports. */
final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses the value of an option.
     *
     * @param spec command that the option belongs to, for the error message
     * @throws CommandLine.ParameterException if the text is neither an address nor a range
     */
    static List<SocketAddress> parse(
            CommandLine.Model.CommandSpec spec, String option, String text) {
        try {
            return parse(text);
        } catch (IllegalArgumentException e) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    option + " " + text + ": expected HOST:PORT or HOST:PORT-PORT",
                    e);
        }
    }

    private static List<SocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        String[] ports = text.substring(colon + 1).split("-", 2);
        int first = Integer.parseInt(ports[0]);
        int last = Integer.parseInt(ports[ports.length - 1]);
        if (colon <= 0 || first <= 0 || last < first || last > MAX_PORT) {
            throw new IllegalArgumentException(text);
        }
        String host = text.substring(0, colon);
        return IntStream.rangeClosed(first, last)
                .<SocketAddress>mapToObj(port -> new InetSocketAddress(host, port))
                .toList();
    }
}
