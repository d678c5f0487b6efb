package thornferry.decisions.placement;

/**
 * A machine's report of its load. A value that the machine did not report is {@link #UNKNOWN}.
 *
 * @param freeCores cores that are not in use or reserved
 * @param freeMemory memory that is not in use or reserved, in the units of the settings
 * @param busyFraction part of the machine's cores that is busy, 0 to 1
 * @param queueLength tasks that were accepted and have not started
 */
public record LoadReport(
        double freeCores, double freeMemory, double busyFraction, double queueLength) {
    /** A value that was not reported; every comparison with it is false. */
    public static final double UNKNOWN = Double.NaN;

    /** A report of free capacity alone. */
    public static LoadReport ofFreeCapacity(double freeCores, double freeMemory) {
        return new LoadReport(freeCores, freeMemory, UNKNOWN, UNKNOWN);
    }
}
