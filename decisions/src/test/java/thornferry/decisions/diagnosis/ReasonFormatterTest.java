package thornferry.decisions.diagnosis;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import thornferry.decisions.diagnosis.PendingReasons.Evidence;
import thornferry.decisions.diagnosis.PendingReasons.Kind;
import thornferry.decisions.diagnosis.PendingReasons.Reason;

/** Compares each sentence as a whole, because sentences are part of the wire protocol. */
class ReasonFormatterTest {
    private static String sentence(Kind kind, String endsWhen, Evidence... evidence) {
        return new Reason(kind, 0, List.of(evidence), endsWhen).sentence();
    }

    private static String sentence(Evidence... evidence) {
        return sentence(Kind.QUEUED, "", evidence);
    }

    @Test
    void formatsOpeningOfEachKind() {
        assertThat(Arrays.stream(Kind.values()).map(kind -> sentence(kind, "")))
                .containsExactly(
                        "No node is large enough, or of the kind it needs.",
                        "No node has room for it now.",
                        "Nodes turned it down.",
                        "The nodes that could take it are out of reach or silent.",
                        "Its key is held.",
                        "The nodes that could take it are draining.",
                        "As many of its service as may be stand wherever there is room.",
                        "The nodes that could take it have just started.",
                        "No node is connected.",
                        "A limit of yours is reached.",
                        "A limit of your tenant is reached.",
                        "Your tenant has its share, and others come first.",
                        "More is asked of the placer than can be placed.",
                        "Room is being kept for a larger task of more worth.",
                        "An earlier attempt may have run, and that is not known yet.",
                        "It was offered to a node, whose answer is due.",
                        "Its turn has not come.");
    }

    @Test
    void appendsEndCondition() {
        assertThat(sentence(Kind.QUEUED, EndCondition.DISPATCHED))
                .isEqualTo("Its turn has not come. It ends when its turn comes.");
    }

    @Test
    void separatesPiecesOfEvidence() {
        assertThat(sentence(Evidence.ofDescription("a"), Evidence.ofName("b", "name")))
                .isEqualTo("Its turn has not come: a; b name.");
    }

    @Test
    void statesNumberOfMachinesUnlessItIsOneNamedMachine() {
        assertThat(sentence(Evidence.ofMachine("a", "n1")))
                .isEqualTo("Its turn has not come: a n1.");
        assertThat(sentence(Evidence.ofMachines("a", 1)))
                .isEqualTo("Its turn has not come: a (1 node).");
        assertThat(sentence(Evidence.ofMachines("a", 2)))
                .isEqualTo("Its turn has not come: a (2 nodes).");
        assertThat(sentence(Evidence.ofMachines("a", "n1", 2)))
                .isEqualTo("Its turn has not come: a n1 (2 nodes).");
    }

    @Test
    void formatsNeededAndAvailableAmounts() {
        assertThat(sentence(Evidence.ofShortfall("a", "n1", 1.5)))
                .isEqualTo("Its turn has not come: a n1 1.50.");
        assertThat(sentence(Evidence.ofAmount("a", 3))).isEqualTo("Its turn has not come: a 3.");
        assertThat(sentence(Evidence.ofUsage("a", "o", 4, 3.25)))
                .isEqualTo("Its turn has not come: a o 4, has 3.25.");
    }
}
