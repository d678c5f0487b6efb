package thornferry.placer;

import io.netty.channel.EventLoop;

/**
 * One instance of a placer.
 *
 * @param number its index among the instances of the site, from 0
 * @param loop the event loop on which everything of the instance runs
 */
record PlacerInstance(Site site, int number, EventLoop loop, Clock clock) {
    /** The name of an instance: the site's name and the number. */
    static String name(Site site, int number) {
        return site.name() + "-" + number;
    }

    String name() {
        return name(site, number);
    }
}
