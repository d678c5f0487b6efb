/** The recording proxy between a placer and its peers, and the capture file that it writes. */
package thornferry.testbed.capture;
