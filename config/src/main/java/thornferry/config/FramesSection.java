package thornferry.config;

import thornferry.config.TomlFile.Section;
import thornferry.protocol.FrameLimits;

/** The table {@code [frames]}: the size limits of frames and of unwritten output. */
final class FramesSection {
    private static final int KIBIBYTE = 1 << 10;
    private static final int MEBIBYTE = 1 << 20;

    private FramesSection() {}

    static FrameLimits read(Section root) {
        Section section = root.table("frames");
        return new FrameLimits(
                section.whole("line-octets", 64, MEBIBYTE, 4 * KIBIBYTE),
                section.whole("headers", 8, 10_000, 64),
                section.whole("body-octets", KIBIBYTE, 64 * MEBIBYTE, MEBIBYTE),
                section.whole("unwritten-octets", 4 * KIBIBYTE, 256 * MEBIBYTE, 4 * MEBIBYTE));
    }
}
