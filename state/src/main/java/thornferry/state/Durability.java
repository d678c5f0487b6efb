package thornferry.state;

/** The failures that an acknowledged journal record survives. */
public enum Durability {
    /** No journal is written; after a restart the placer relies on the nodes' reports alone. */
    NONE,
    /**
     * Records are written to the operating system: they survive any end of the process, but not a
     * crash of the machine.
     */
    OS,
    /** Records are forced to disk, several at a time: they survive a power loss. */
    DISK
}
