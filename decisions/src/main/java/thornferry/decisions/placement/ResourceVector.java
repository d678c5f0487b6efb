package thornferry.decisions.placement;

/**
 * A mutable amount of each {@link Resource}: cores, and memory in the unit of the settings.
 *
 * <p>The class is mutable because running sums are updated for every attempt.
 */
final class ResourceVector {
    private double cores;
    private double memory;

    ResourceVector(double cores, double memory) {
        set(cores, memory);
    }

    double cores() {
        return cores;
    }

    double memory() {
        return memory;
    }

    double get(Resource resource) {
        return resource == Resource.CORES ? cores : memory;
    }

    void set(double newCores, double newMemory) {
        cores = newCores;
        memory = newMemory;
    }

    void set(Resource resource, double amount) {
        if (resource == Resource.CORES) {
            cores = amount;
        } else {
            memory = amount;
        }
    }

    void add(double addedCores, double addedMemory) {
        cores += addedCores;
        memory += addedMemory;
    }

    void add(Resource resource, double amount) {
        if (resource == Resource.CORES) {
            cores += amount;
        } else {
            memory += amount;
        }
    }
}
