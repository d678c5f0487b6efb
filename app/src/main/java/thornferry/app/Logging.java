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

/** Logs go to standard error, as lines of text or of JSON; standard output is the commands'. */
final class Logging {
    private Logging() {}

    static void form(boolean json) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.detachAndStopAllAppenders();
        ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
        out.setContext(context);
        out.setTarget("System.err");
        out.setEncoder(json ? json(context) : text(context));
        out.start();
        root.addAppender(out);
        context.getLogger("io.netty").setLevel(Level.WARN);
    }

    private static Encoder<ILoggingEvent> json(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> text(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%d{HH:mm:ss.SSS} %-5level %kvp{NONE} %msg%n%ex");
        encoder.start();
        return encoder;
    }

    static void level(String level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.toLevel(level, Level.INFO));
    }
}
