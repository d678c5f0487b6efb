package thornferry.app;

import java.util.Locale;
import thornferry.protocol.v1.Reason;

/** How the kinds of reasons of pending tasks are printed. */
final class ReasonNames {
    private ReasonNames() {}

    static String of(Reason.Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
