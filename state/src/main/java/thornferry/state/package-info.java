/**
 * The write-ahead journal of a placer instance: what must outlast a restart so that no
 * non-idempotent task runs twice.
 *
 * <p>{@link thornferry.state.Journal} is the interface that the placer uses and states the ordering
 * that its callers rely on. {@link thornferry.state.JournalFile} implements it on disk; the parts
 * are:
 *
 * <ul>
 *   <li>{@code JournalFolder}: the folder, its lock, the names of its files;
 *   <li>{@code JournalRecovery} and {@code JournalReader}: reading the newest file at start, up to
 *       its last intact entry;
 *   <li>{@code ActiveFile}: the file that is appended to, and its replacement by a compacted one;
 *   <li>{@code GroupCommitter}: the thread that writes and forces entries in batches;
 *   <li>{@code SnapshotWriter}: writes the compacted file beside the active one;
 *   <li>{@code FrameFormat}, {@code RecordCodec} and {@link thornferry.state.JournalWords}: the
 *       format of the bytes;
 *   <li>{@code Storage}: the file-system operations, replaceable in tests that simulate power loss.
 * </ul>
 *
 * <p>The entries are protocol buffers, declared in {@code journal.proto}. Files written by version
 * 0.2.0 must stay readable, and equal records must be encoded to equal bytes.
 */
package thornferry.state;
