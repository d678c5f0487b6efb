package thornferry.decisions;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Guards the rules that make the decisions reproducible in a replay: the code does no I/O, reads no
 * clock and draws random numbers only from a seed.
 */
@AnalyzeClasses(
        packages = "thornferry.decisions",
        importOptions = ImportOption.DoNotIncludeTests.class)
class PackageDependencyTest {
    @ArchTest
    static final ArchRule DECISIONS_DO_NO_IO =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.io..",
                            "java.nio..",
                            "java.net..",
                            "java.util.concurrent..",
                            "java.util.logging..");

    @ArchTest
    static final ArchRule DECISIONS_READ_NO_CLOCK =
            noClasses()
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .dependOnClassesThat()
                    .resideInAnyPackage("java.time..");

    @ArchTest
    static final ArchRule DECISIONS_DRAW_RANDOM_NUMBERS_FROM_SEED =
            noClasses()
                    .should()
                    .callMethod(Math.class, "random")
                    .orShould()
                    .callConstructor(java.util.Random.class)
                    .orShould()
                    .callConstructor(java.util.SplittableRandom.class);

    @ArchTest
    static final ArchRule PACKAGES_HAVE_NO_CYCLES =
            slices().matching("thornferry.decisions.(*)..").should().beFreeOfCycles();
}
