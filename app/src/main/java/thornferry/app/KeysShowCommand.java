package thornferry.app;

import java.io.IOException;
import java.time.Duration;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thornferry.security.CertificateStatus;

/** Prints the certificates of a site and checks that none is about to expire. */
@Command(
        name = "show",
        description =
                "Lists all certificates and when they expire. The exit code is 1 if one has"
                        + " expired, expires soon or is not signed by the authority.")
final class KeysShowCommand extends KeyDirectoryCommand {
    private static final String ROW_FORMAT = "%-20s %-10s %-17s %-17s %s%n";
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm").withZone(ZoneOffset.UTC);

    @Option(
            names = "--soon-days",
            paramLabel = "<soon>",
            defaultValue = "30",
            description =
                    "Remaining validity, in days, below which a certificate is reported as expiring"
                            + " soon; default: ${DEFAULT-VALUE}.")
    private int soonDays;

    @Override
    public Integer call() throws IOException {
        boolean allValid = true;
        System.out.printf(ROW_FORMAT, "NAME", "FOR", "FROM", "UNTIL", "STATE");
        for (CertificateStatus certificate : keys().list()) {
            printRow(certificate);
            allValid &= certificate.signedByAuthority() && !expiresSoon(certificate);
        }
        return ExitCode.ofCheck(allValid);
    }

    private void printRow(CertificateStatus certificate) {
        System.out.printf(
                ROW_FORMAT,
                certificate.name(),
                certificate.use(),
                TIME.format(certificate.notBefore()),
                TIME.format(certificate.notAfter()),
                state(certificate));
    }

    private String state(CertificateStatus certificate) {
        if (!certificate.signedByAuthority()) {
            return "not signed by this authority";
        }
        if (certificate.isExpired()) {
            return "EXPIRED";
        }
        String advice = expiresSoon(certificate) ? ", renew it" : "";
        return certificate.remainingValidity().toDays() + " days left" + advice;
    }

    private boolean expiresSoon(CertificateStatus certificate) {
        return certificate.expiresWithin(Duration.ofDays(soonDays));
    }
}
