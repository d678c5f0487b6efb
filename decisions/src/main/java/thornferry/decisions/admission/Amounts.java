package thornferry.decisions.admission;

import java.util.Locale;

/** Formats amounts for sentences that people read. */
public final class Amounts {
    private Amounts() {}

    /**
     * The amount as text: whole numbers without a fraction, others with two decimals.
     *
     * @param amount any number
     */
    public static String format(double amount) {
        return amount == Math.rint(amount)
                ? Long.toString((long) amount)
                : String.format(Locale.ROOT, "%.2f", amount);
    }
}
