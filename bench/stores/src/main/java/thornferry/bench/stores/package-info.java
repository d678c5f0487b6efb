/** Compares stores for the journal records of a placer; not part of the build. */
package thornferry.bench.stores;
