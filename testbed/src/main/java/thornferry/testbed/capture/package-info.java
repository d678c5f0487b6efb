/**
 * The recording proxy between a placer and its peers ({@link
 * thornferry.testbed.capture.RecordingProxy}), and the capture file that it writes ({@link
 * thornferry.testbed.capture.Capture}, {@link thornferry.testbed.capture.CaptureFormat}).
 */
package thornferry.testbed.capture;
