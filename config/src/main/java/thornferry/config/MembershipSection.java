package thornferry.config;

import static thornferry.config.Durations.HOUR_MILLIS;

import thornferry.config.TomlFile.Section;
import thornferry.decisions.membership.Membership;

/** The table {@code [membership]}: when nodes are considered gone or flapping. */
final class MembershipSection {
    private MembershipSection() {}

    static Membership.Limits read(Section root) {
        Section section = root.table("membership");
        return new Membership.Limits(
                section.millis("gone-after-ms", 100, HOUR_MILLIS, 10_000),
                section.whole("flaps", 1, 1_000, 4),
                section.millis("flap-window-ms", 100, HOUR_MILLIS, 30_000),
                section.millis("held-out-ms", 100, HOUR_MILLIS, 5_000),
                section.whole("nodes", 1, 1_000_000, 20_000));
    }
}
