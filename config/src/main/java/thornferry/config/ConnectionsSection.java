package thornferry.config;

import thornferry.config.TomlFile.Section;
import thornferry.protocol.Heartbeat;

/**
 * The table {@code [connections]}: heartbeats and limits of connections.
 *
 * @param heartbeat intervals that the placer proposes
 * @param handshakeMillis time after which a peer that has not sent CONNECT is disconnected
 * @param maxConnections maximum number of open connections of each instance
 */
record ConnectionsSection(Heartbeat heartbeat, int handshakeMillis, int maxConnections) {
    private static final int MAX_HEARTBEAT_MILLIS = (int) Durations.HOUR_MILLIS;
    private static final int MAX_HANDSHAKE_MILLIS = (int) (10 * Durations.MINUTE_MILLIS);

    static ConnectionsSection read(Section root) {
        Section section = root.table("connections");
        int heartbeatMillis = section.whole("heart-beat-ms", 0, MAX_HEARTBEAT_MILLIS, 2_000);
        return new ConnectionsSection(
                new Heartbeat(heartbeatMillis, heartbeatMillis),
                section.whole("handshake-ms", 100, MAX_HANDSHAKE_MILLIS, 5_000),
                section.whole("most", 1, 1_000_000, 12_000));
    }
}
