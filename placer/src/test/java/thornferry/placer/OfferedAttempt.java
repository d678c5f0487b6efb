package thornferry.placer;

import thornferry.decisions.requests.TaskSpec;

/** An attempt that was offered to a {@link RandomizedNode}. */
record OfferedAttempt(String id, String owner, TaskSpec spec) {}
