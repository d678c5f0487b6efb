package thornferry.decisions.requests;

/** The name of a task that is unique among all owners. */
public final class TaskKey {
    private TaskKey() {}

    /**
     * The key of an owner's task. The length of the owner's name comes first, so that no two pairs
     * of names give the same key.
     */
    public static String of(String owner, String task) {
        return owner.length() + ":" + owner + "/" + task;
    }
}
