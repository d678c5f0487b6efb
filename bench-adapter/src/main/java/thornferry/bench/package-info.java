/**
 * Runs placement modules inside the simulator. {@link thornferry.bench.SimHost} reads batches of
 * messages, one JSON array a line, and writes the modules' actions as a reply to each batch.
 *
 * <p>The words, columns and codes of the wire are fixed by the simulator's specification. {@code
 * MessageType}, {@code WireColumns}, {@code EventDecoder} and {@code ActionEncoder} translate them
 * to the terms of the code and back; they decide nothing.
 */
package thornferry.bench;
