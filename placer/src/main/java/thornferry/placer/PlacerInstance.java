package thornferry.placer;

import io.netty.channel.EventLoop;

/**
 * One instance of a placer.
 *
 * @param site the configuration of the placer
 * @param number the index of the instance among those of the placer, from 0
 * @param loop the event loop on which everything of the instance runs
 */
record PlacerInstance(Site site, int number, EventLoop loop, Clock clock) {
    /** Returns the name of an instance: the name of the placer and the number. */
    static String name(Site site, int number) {
        return site.name() + "-" + number;
    }

    String name() {
        return name(site, number);
    }
}
