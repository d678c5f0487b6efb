package thornferry.decisions.admission;

import java.util.Locale;

/** Formats amounts for human-readable sentences. */
public final class Amounts {
    private Amounts() {}

    /**
     * Returns the amount as text: whole numbers without a fraction, others with two decimal places.
     *
     * @param amount any number
     */
    public static String format(double amount) {
        return amount == Math.rint(amount)
                ? Long.toString((long) amount)
                : String.format(Locale.ROOT, "%.2f", amount);
    }
}
