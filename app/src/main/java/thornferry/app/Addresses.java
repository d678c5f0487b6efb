package thornferry.app;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine;

/** Reads addresses of placers from the command line: HOST:PORT, or HOST:PORT-PORT for a range. */
final class Addresses {
    private Addresses() {}

    static List<SocketAddress> parse(
            CommandLine.Model.CommandSpec spec, String option, String text) {
        int colon = text.lastIndexOf(':');
        try {
            String[] ports = text.substring(colon + 1).split("-", 2);
            int first = Integer.parseInt(ports[0]);
            int last = Integer.parseInt(ports[ports.length - 1]);
            if (colon > 0 && first > 0 && last >= first && last < 65_536) {
                List<SocketAddress> list = new ArrayList<>();
                for (int port = first; port <= last; port++) {
                    list.add(new InetSocketAddress(text.substring(0, colon), port));
                }
                return list;
            }
        } catch (NumberFormatException e) {
            // falls through to the message below
        }
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                option + " " + text + ": HOST:PORT or HOST:PORT-PORT is expected");
    }
}
