package thornferry.placer;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.recovery.Recovery;
import thornferry.decisions.requests.OwnedTask;

/** Carries out the actions of {@link Recovery} on tasks of earlier incarnations. */
final class RecoveryActions implements Consumer<Recovery.Action> {
    private static final Logger LOG = LoggerFactory.getLogger(RecoveryActions.class);

    private final PlacerComponents components;

    RecoveryActions(PlacerComponents components) {
        this.components = components;
    }

    @Override
    public void accept(Recovery.Action action) {
        long now = components.clock().now();
        if (action instanceof Recovery.Restored restored) {
            restore(now, restored);
        } else if (action instanceof Recovery.FinishedEarlier finished) {
            finishedEarlier(now, finished);
        } else if (action instanceof Recovery.CancelledAfterStart failed) {
            components.requests.mayHaveRun(
                    now,
                    failed.owner(),
                    components.tenantOf(failed.owner()),
                    failed.spec(),
                    failed.reason(),
                    components.requestActions);
        } else if (action instanceof Recovery.ProvenNotRun proven) {
            components.requests.provenNotRun(
                    now, proven.owner(), proven.task(), components.requestActions);
        } else if (action instanceof Recovery.BecameIndeterminate indeterminate) {
            becameIndeterminate(now, indeterminate);
        }
    }

    private void restore(long now, Recovery.Restored restored) {
        components.requests.restore(
                now,
                new OwnedTask(restored.owner(), restored.tenant(), restored.spec()),
                restored.result(),
                restored.machine(),
                restored.reason(),
                restored.terminationCause());
    }

    private void finishedEarlier(long now, Recovery.FinishedEarlier finished) {
        LOG.atInfo()
                .addKeyValue("instance", components.instance.name())
                .addKeyValue("node", finished.machine())
                .addKeyValue("task", finished.spec().id())
                .log(
                        "task that an earlier incarnation of this placer placed has ended: {}",
                        finished.terminationCause());
        components.requests.finishedEarlier(
                now,
                new OwnedTask(
                        finished.owner(), components.tenantOf(finished.owner()), finished.spec()),
                finished.machine(),
                finished.terminationCause(),
                finished.alreadyNotified(),
                components.requestActions);
    }

    private void becameIndeterminate(long now, Recovery.BecameIndeterminate indeterminate) {
        LOG.atWarn()
                .addKeyValue("instance", components.instance.name())
                .addKeyValue("node", indeterminate.machine())
                .addKeyValue("task", indeterminate.task())
                .log(
                        "offered by an earlier incarnation of this placer; whether the task ran"
                                + " can no longer be determined");
        components.requests.becameIndeterminate(
                now,
                indeterminate.owner(),
                indeterminate.task(),
                indeterminate.machine(),
                components.requestActions);
    }
}
