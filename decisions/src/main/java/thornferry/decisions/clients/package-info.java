/**
 * Decisions about clients of the platform placer: on which connections they are notified, and which
 * of their connections have to stay open for that. Pure state machines without I/O and clocks.
 */
package thornferry.decisions.clients;
