package thornferry.state;

/** Which failures an acknowledged journal record survives. */
public enum Durability {
    /** Nothing is written; after a restart the placer relies on the nodes' reports alone. */
    NONE,
    /**
     * Handed to the operating system: survives any end of the process, but not a crash of the
     * machine.
     */
    OS,
    /** Forced to the disk, together with other pending records: survives a power loss. */
    DISK
}
