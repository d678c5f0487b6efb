package thornferry.decisions.diagnosis;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import thornferry.decisions.diagnosis.PendingReasons.Change;
import thornferry.decisions.diagnosis.PendingReasons.State;

class ChangeHistoryTest {
    private static Change change(long atMicros) {
        return new Change(atMicros, State.WAITING, null);
    }

    @Test
    void retainsFirstAndLatestChanges() {
        ChangeHistory history = new ChangeHistory(3);
        for (int time = 1; time <= 6; time++) {
            history.add(change(time));
        }
        assertThat(history.toList()).containsExactly(change(1), change(5), change(6));
    }

    @Test
    void retainsAllChangesUpToBound() {
        ChangeHistory history = new ChangeHistory(2);
        history.add(change(1));
        history.add(change(2));
        assertThat(history.toList()).containsExactly(change(1), change(2));
    }
}
