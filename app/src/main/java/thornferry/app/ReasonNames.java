package thornferry.app;

import java.util.Locale;
import thornferry.protocol.v1.Reason;

/** Formats the kinds of pending reasons for printing. */
final class ReasonNames {
    private ReasonNames() {}

    static String of(Reason.Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
