/**
 * STOMP 1.2 over Netty: framing, sessions on both sides, heartbeats, destinations and message
 * bodies. Nothing here decides; {@link thornferry.protocol.ServerSession} hands frames to a
 * handler, {@link thornferry.protocol.ClientConnection} to a listener.
 */
package thornferry.protocol;
