package thornferry.testbed.audit;

/** Passes each recorded frame to the handler or checker that it concerns. */
final class FrameHandler {
    private final AuditContext context;
    private final RequestHandler requestHandler;
    private final OfferHandler offerHandler;
    private final AttemptHandler attemptHandler;
    private final ResultChecker resultChecker;
    private final DrainChecker drainChecker;

    FrameHandler(
            AuditContext context,
            RequestHandler requestHandler,
            OfferHandler offerHandler,
            AttemptHandler attemptHandler,
            ResultChecker resultChecker,
            DrainChecker drainChecker) {
        this.context = context;
        this.requestHandler = requestHandler;
        this.offerHandler = offerHandler;
        this.attemptHandler = attemptHandler;
        this.resultChecker = resultChecker;
        this.drainChecker = drainChecker;
    }

    void handle(TracedConnection connection, FrameEvent frame) {
        if (frame instanceof FrameEvent.LoggedIn loggedIn) {
            connection.logIn(loggedIn.login());
        } else if (frame instanceof FrameEvent.ResultsSubscribed) {
            connection.subscribeToResults(context.nowMicros());
        } else if (frame instanceof FrameEvent.TaskRequested request) {
            requestHandler.requested(connection, request);
        } else if (frame instanceof FrameEvent.ReceiptSent sent) {
            drainChecker.receiptSent(connection, sent.receipt());
            requestHandler.acknowledged(connection, sent.receipt());
        } else if (frame instanceof FrameEvent.ErrorSent error) {
            connection.endByError();
            drainChecker.connectionEndedByError(connection);
            attemptHandler.connectionBroken(connection);
            requestHandler.rejectedByError(connection, error.receipt());
        } else if (frame instanceof FrameEvent.ClientNotified notification) {
            resultChecker.notified(connection, notification);
        } else if (frame instanceof FrameEvent.TaskOffered offer) {
            offerHandler.offered(connection, offer);
        } else if (frame instanceof FrameEvent.OfferWithdrawn withdrawn) {
            attemptHandler.withdrawn(withdrawn.attemptId());
        } else if (frame instanceof FrameEvent.AttemptReported reported) {
            attemptHandler.reported(connection, reported.report());
        } else if (frame instanceof FrameEvent.NodeRegistered registration) {
            attemptHandler.registered(connection, registration);
        } else if (frame instanceof FrameEvent.DrainRequested drain) {
            drainChecker.drainRequested(connection, drain);
        }
    }
}
