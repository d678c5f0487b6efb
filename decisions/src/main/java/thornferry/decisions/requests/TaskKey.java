package thornferry.decisions.requests;

/** Builds keys that identify tasks across all owners. */
public final class TaskKey {
    private TaskKey() {}

    /**
     * Returns the key of an owner's task. The key begins with the length of the owner's name, so
     * that different pairs of names never give the same key.
     */
    public static String of(String owner, String task) {
        return owner.length() + ":" + owner + "/" + task;
    }
}
