/**
 * Runs placement modules for the simulator. {@link thornferry.bench.SimHost} reads batches of
 * messages, one JSON array per line, and writes the modules' actions as the reply to each batch.
 *
 * <p>The simulator's specification fixes the names, columns and codes of its protocol. {@code
 * MessageType}, {@code WireColumns}, {@code EventDecoder} and {@code ActionEncoder} only translate
 * between them and the terms of the code.
 */
package thornferry.bench;
