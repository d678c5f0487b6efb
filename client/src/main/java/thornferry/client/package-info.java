/**
 * The client library: submits tasks to a placer and receives their results and events.
 *
 * <p>{@link thornferry.client.TaskClient} is the public API. {@code OutstandingRequests} holds the
 * requests that have no result yet, {@code QueryCalls} matches queries with their replies, and
 * {@code PlacerConnection} reconnects after a close and dispatches received messages. The state of
 * a client is confined to its event loop.
 */
package thornferry.client;
