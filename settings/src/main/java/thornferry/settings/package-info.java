/**
 * Reads the settings of a placement module from JSON. The same object is sent by the simulator and
 * stands in the configuration of a placer on the platform.
 *
 * <p>The keys and words of that object are fixed by its specification. They occur in this package
 * alone, as constants and tables whose names are the terms of the code. Nothing is decided here:
 * values are checked by the records of {@link thornferry.decisions.placement.Placement}.
 */
package thornferry.settings;
