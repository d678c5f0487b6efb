package thornferry.decisions.diagnosis;

/** Identity of a task: its owner, and the name that the owner gave it. */
record TaskKey(String owner, String taskName) {}
