package thornferry.decisions.placement;

/**
 * A machine's report of its load. A value that the machine did not report is {@link #UNKNOWN}.
 *
 * @param freeCores the cores that are neither in use nor reserved
 * @param freeMemory the memory that is neither in use nor reserved, in the unit of the settings
 * @param busyFraction the fraction of the machine's cores that is busy, 0 to 1
 * @param queueLength the number of tasks that were accepted and have not started
 */
public record LoadReport(
        double freeCores, double freeMemory, double busyFraction, double queueLength) {
    /** The value of a field that was not reported; every comparison with it is false. */
    public static final double UNKNOWN = Double.NaN;

    /** Returns a report of free capacity alone. */
    public static LoadReport ofFreeCapacity(double freeCores, double freeMemory) {
        return new LoadReport(freeCores, freeMemory, UNKNOWN, UNKNOWN);
    }
}
