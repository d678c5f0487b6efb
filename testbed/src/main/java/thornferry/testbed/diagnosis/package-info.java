/** Sites in which a task is pending for one known reason, and whether the placer shows it. */
package thornferry.testbed.diagnosis;
