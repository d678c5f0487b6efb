package thornferry.testbed.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** A node as it registered. */
final class TracedNode {
    private final List<Long> recentOffersMicros = new ArrayList<>();
    private OptionalLong incarnation = OptionalLong.empty();
    private long startedAtMicros;
    private String zone = "";
    private int cell;

    /**
     * The node registers.
     *
     * @return whether it has been restarted since its previous registration
     */
    boolean register(FrameEvent.NodeRegistered registration, long nowMicros) {
        boolean known = incarnation.isPresent();
        boolean newer = !known || registration.incarnation() > incarnation.getAsLong();
        if (newer) {
            incarnation = OptionalLong.of(registration.incarnation());
            startedAtMicros = nowMicros - registration.uptimeMicros();
            recentOffersMicros.clear();
        }
        zone = registration.zone();
        cell = registration.cell();
        return known && newer;
    }

    long startedAtMicros() {
        return startedAtMicros;
    }

    String zone() {
        return zone;
    }

    int cell() {
        return cell;
    }

    /**
     * Counts an offer to the node while it warms up.
     *
     * @return the offers within the window that ends now
     */
    int countOffer(long nowMicros, long windowMicros) {
        recentOffersMicros.removeIf(offeredAt -> offeredAt <= nowMicros - windowMicros);
        recentOffersMicros.add(nowMicros);
        return recentOffersMicros.size();
    }
}
