package thornferry.decisions.diagnosis;

/** Identity of a task: its owner and the owner's name for it. */
record TaskKey(String owner, String task) {}
