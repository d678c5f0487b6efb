/**
 * The write-ahead journal of a placer instance, with the records that must survive a restart so
 * that no non-idempotent task runs twice.
 *
 * <p>{@link thornferry.state.Journal} is the interface that the placer uses; it specifies the order
 * of writes that callers rely on. {@link thornferry.state.JournalFile} implements it on disk, with
 * these parts:
 *
 * <ul>
 *   <li>{@code JournalFolder}: the folder, its lock, and the names of its files;
 *   <li>{@code JournalRecovery} and {@code JournalReader}: read the newest file at the start of the
 *       placer, up to its last intact entry;
 *   <li>{@code ActiveFile}: the file that entries are appended to, and its replacement with a
 *       compacted one;
 *   <li>{@code GroupCommitter}: the thread that writes and forces entries in batches;
 *   <li>{@code SnapshotWriter}: writes the compacted file while the active one is in use;
 *   <li>{@code FrameFormat}, {@code RecordCodec} and {@link thornferry.state.StoredNames}: the file
 *       format;
 *   <li>{@code Storage}: the file-system operations, replaceable in tests that simulate power loss.
 * </ul>
 *
 * <p>The entries are protocol buffers, declared in {@code journal.proto}. Files written by version
 * 0.2.0 must stay readable, and equal records must be encoded to equal bytes.
 */
package thornferry.state;
