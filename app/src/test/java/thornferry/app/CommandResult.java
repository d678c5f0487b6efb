package thornferry.app;

/** The exit code of a command and its output on standard output and standard error. */
record CommandResult(int code, String out, String err) {}
