/** Checks a capture against the five rules, without knowledge of the placer. */
package thornferry.testbed.audit;
