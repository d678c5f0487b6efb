/**
 * The client library: submits tasks to a placer and receives their results and events.
 *
 * <p>{@link thornferry.client.TaskClient} is the public API. {@code OutstandingRequests} holds the
 * submitted tasks that have no result yet, {@code QueryCalls} matches queries with their replies,
 * and {@code PlacerConnection} keeps the connection open and dispatches the messages that it
 * receives. The state of a client is confined to its event loop.
 */
package thornferry.client;
