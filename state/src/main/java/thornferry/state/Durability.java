package thornferry.state;

/** How much a promise outlasts once it is made. */
public enum Durability {
    /** Nothing is written: a placer's restart relies on what nodes remember. */
    NONE,
    /**
     * Handed to the operating system: outlasts the end of the process, however it ends, but not
     * that of the machine.
     */
    OS,
    /** Forced to the disk, together with what came meanwhile: outlasts a power loss. */
    DISK
}
