/**
 * STOMP 1.2 over Netty: framing, both sides of a connection, heartbeats, destinations and message
 * bodies. The package contains no scheduling logic; {@link thornferry.protocol.ServerSession}
 * passes frames to a {@link thornferry.protocol.SessionHandler}, {@link
 * thornferry.protocol.ClientConnection} to a listener.
 */
package thornferry.protocol;
