package thornferry.decisions.requests;

/**
 * A task with its owner and tenant.
 *
 * @param tenant the owner's tenant, empty for none
 */
public record OwnedTask(String owner, String tenant, TaskSpec spec) {
    String key() {
        return TaskKey.of(owner, spec.id());
    }
}
