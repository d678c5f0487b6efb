package thornferry.app;

/** The format of the log; the names of the constants are the values of the option {@code --log}. */
enum LogFormat {
    text,
    json
}
