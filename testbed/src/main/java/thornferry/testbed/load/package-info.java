/** Load generator and overload experiments against a placer on loopback. */
package thornferry.testbed.load;
