package thornferry.decisions.placement;

/** A resource that machines offer and tasks request. */
enum Resource {
    CORES,
    MEMORY
}
