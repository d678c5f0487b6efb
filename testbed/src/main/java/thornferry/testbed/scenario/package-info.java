/** Scripted scenarios: placers, nodes and clients on loopback, with faults at given times. */
package thornferry.testbed.scenario;
