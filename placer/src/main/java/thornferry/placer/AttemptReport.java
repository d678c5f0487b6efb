package thornferry.placer;

import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.LoadReport;

/**
 * The status of an attempt as its machine reports it.
 *
 * @param rejectionReason {@link RejectionReason#NONE} unless the machine rejected the offer
 * @param ran whether the task had started
 * @param load the load of the machine, or null if the report carries none
 */
record AttemptReport(
        String attempt,
        AttemptStatus status,
        RejectionReason rejectionReason,
        boolean ran,
        LoadReport load) {}
