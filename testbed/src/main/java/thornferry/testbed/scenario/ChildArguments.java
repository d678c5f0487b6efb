package thornferry.testbed.scenario;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import thornferry.config.ConfigException;
import thornferry.state.Durability;

/** The command line of a child process. */
sealed interface ChildArguments {
    /** Stands for the folder of the keys if there are none. */
    String NO_KEYS = "-";

    /** The file of the scenario. */
    Path script();

    /** The seed of the scenario, which may differ from that of the file. */
    long seed();

    /** The number of the child among those with its role, from 0. */
    int number();

    /** The keys and certificates; empty for plain text. */
    Optional<ScenarioKeys> keys();

    /** The words of the command line. */
    List<String> toCommandLine();

    /**
     * Reads the scenario anew.
     *
     * @throws ConfigException if the file has changed and is wrong now
     */
    default ScenarioFile readScenario() throws ConfigException {
        return ScenarioFile.read(script()).withSeed(seed());
    }

    /**
     * Parses a command line.
     *
     * @throws IllegalArgumentException if it is not one of {@link #toCommandLine}
     */
    static ChildArguments parse(List<String> words) {
        return switch (words.get(0)) {
            case Placer.ROLE -> Placer.parse(words);
            case Nodes.ROLE -> Nodes.parse(words);
            default -> throw new IllegalArgumentException("no role of a child: " + words.get(0));
        };
    }

    /** The words that the command lines of all roles begin with. */
    private static List<String> commonWords(String role, ChildArguments arguments) {
        List<String> words = new ArrayList<>();
        words.add(role);
        words.add(arguments.script().toString());
        words.add(Long.toString(arguments.seed()));
        words.add(Integer.toString(arguments.number()));
        words.add(arguments.keys().map(keys -> keys.folder().toString()).orElse(NO_KEYS));
        return words;
    }

    private static Optional<ScenarioKeys> parseKeys(String word) {
        return word.equals(NO_KEYS)
                ? Optional.empty()
                : Optional.of(new ScenarioKeys(Path.of(word)));
    }

    /**
     * The arguments of a placer.
     *
     * @param stateFolder the folder of its journal
     * @param durability the durability of its journal
     */
    record Placer(
            Path script,
            long seed,
            int number,
            Optional<ScenarioKeys> keys,
            Path stateFolder,
            Durability durability)
            implements ChildArguments {
        private static final String ROLE = "placer";

        private static Placer parse(List<String> words) {
            return new Placer(
                    Path.of(words.get(1)),
                    Long.parseLong(words.get(2)),
                    Integer.parseInt(words.get(3)),
                    ChildArguments.parseKeys(words.get(4)),
                    Path.of(words.get(5)),
                    Durability.valueOf(words.get(6)));
        }

        @Override
        public List<String> toCommandLine() {
            List<String> words = ChildArguments.commonWords(ROLE, this);
            words.add(stateFolder.toString());
            words.add(durability.name());
            return words;
        }
    }

    /**
     * The arguments of a process with the nodes of some zones.
     *
     * @param warm whether its nodes have been up for long; else they begin with a slow start
     * @param placerPorts the ports of the placers' proxies
     */
    record Nodes(
            Path script,
            long seed,
            int number,
            Optional<ScenarioKeys> keys,
            boolean warm,
            List<Integer> placerPorts)
            implements ChildArguments {
        private static final String ROLE = "nodes";

        /** Copies the list. */
        public Nodes {
            placerPorts = List.copyOf(placerPorts);
        }

        private static Nodes parse(List<String> words) {
            return new Nodes(
                    Path.of(words.get(1)),
                    Long.parseLong(words.get(2)),
                    Integer.parseInt(words.get(3)),
                    ChildArguments.parseKeys(words.get(4)),
                    Boolean.parseBoolean(words.get(5)),
                    words.stream().skip(6).map(Integer::valueOf).toList());
        }

        /** The arguments after a kill: the nodes begin with a slow start. */
        Nodes afterKill() {
            return new Nodes(script, seed, number, keys, false, placerPorts);
        }

        @Override
        public List<String> toCommandLine() {
            List<String> words = ChildArguments.commonWords(ROLE, this);
            words.add(Boolean.toString(warm));
            placerPorts.forEach(port -> words.add(port.toString()));
            return words;
        }
    }
}
