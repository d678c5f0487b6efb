/**
 * Reads the settings of a placement module from JSON. The simulator sends the settings object, and
 * the configuration of a placer on the platform contains it.
 *
 * <p>The specification of that object fixes its keys and named values. Only this package contains
 * them, as constants and maps that are named with the terms of the code. The records of {@link
 * thornferry.decisions.placement.Placement} validate the values.
 */
package thornferry.settings;
