package thornferry.app;

/** The format of the log; the constants are the values of the option, which messages list. */
enum LogFormat {
    text,
    json
}
