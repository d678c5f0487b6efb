package thornferry.testbed.audit;

import java.util.Locale;

/** A set of nodes: those that share idempotency keys, or over which a service is spread. */
enum NodeGroup {
    /** One node alone. */
    MACHINE,
    /** A cell within a zone. */
    CELL,
    ZONE,
    /** All nodes. */
    ALL;

    String displayName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
