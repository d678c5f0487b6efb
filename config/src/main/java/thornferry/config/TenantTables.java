package thornferry.config;

import java.util.ArrayList;
import java.util.List;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement.Tenant;

/** The tables {@code [[tenant]]}: the tenants of the site and their fair shares. */
final class TenantTables {
    private TenantTables() {}

    static List<Tenant> read(Section root) {
        List<Tenant> tenants = new ArrayList<>();
        for (Section section : root.tables("tenant")) {
            tenants.add(
                    new Tenant(
                            section.requiredText("name"),
                            section.number("share", 0, 1, 1),
                            section.number("cores", 0, 1e9, 0)));
        }
        return tenants;
    }
}
