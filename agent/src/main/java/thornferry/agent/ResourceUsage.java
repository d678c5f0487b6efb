package thornferry.agent;

import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Task;

/** The cores and memory that the tasks of a node have reserved, and the memory they use. */
final class ResourceUsage {
    /** The tolerance for rounding errors of repeated additions and subtractions. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final NodeShape shape;
    private double reservedCores;
    private double reservedMemory;
    private double usedMemory;

    ResourceUsage(NodeShape shape) {
        this.shape = shape;
    }

    /** Returns the resource that is too short for the task; {@code NONE} if the task fits. */
    Answer.Reason shortage(Task task) {
        if (task.getCores() + reservedCores > shape.cores() + ROUNDING_TOLERANCE) {
            return Answer.Reason.NO_CORES;
        }
        if (task.getMemory() + reservedMemory > shape.memory() + ROUNDING_TOLERANCE) {
            return Answer.Reason.NO_MEMORY;
        }
        return Answer.Reason.NONE;
    }

    void reserve(Task task) {
        reservedCores += task.getCores();
        reservedMemory += task.getMemory();
    }

    void release(Task task) {
        reservedCores -= task.getCores();
        reservedMemory -= task.getMemory();
    }

    void useMemory(double memory) {
        usedMemory += memory;
    }

    void freeMemory(double memory) {
        usedMemory -= memory;
    }

    boolean isOutOfMemory() {
        return usedMemory > shape.memory();
    }

    double freeCores() {
        return shape.cores() - reservedCores;
    }

    double freeReservableMemory() {
        return shape.memory() - reservedMemory;
    }
}
