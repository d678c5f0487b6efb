package thornferry.app;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/**
 * Configures logging to standard error, as lines of text or of JSON. Standard output is reserved
 * for the results of commands.
 */
final class Logging {
    private static final String TEXT_PATTERN = "%d{HH:mm:ss.SSS} %-5level %kvp{NONE} %msg%n%ex";
    private static final String STANDARD_ERROR = "System.err";
    private static final String NETTY_LOGGER = "io.netty";

    private Logging() {}

    static void setFormat(LogFormat format) {
        LoggerContext context = context();
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.detachAndStopAllAppenders();
        root.addAppender(appender(context, format));
        context.getLogger(NETTY_LOGGER).setLevel(Level.WARN);
    }

    /** Sets the log level; an unknown name sets INFO, the default. */
    static void setLevel(String level) {
        context().getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.toLevel(level, Level.INFO));
    }

    private static LoggerContext context() {
        return (LoggerContext) LoggerFactory.getILoggerFactory();
    }

    private static ConsoleAppender<ILoggingEvent> appender(
            LoggerContext context, LogFormat format) {
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget(STANDARD_ERROR);
        appender.setEncoder(format == LogFormat.json ? jsonEncoder(context) : textEncoder(context));
        appender.start();
        return appender;
    }

    private static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> textEncoder(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(TEXT_PATTERN);
        encoder.start();
        return encoder;
    }
}
