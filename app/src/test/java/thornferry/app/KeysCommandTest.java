package thornferry.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class KeysCommandTest {
    @TempDir Path folder;

    @Test
    void issuesShowsAndRenewsCertificatesAndHashesPasscodes() {
        String dir = folder.resolve("keys").toString();
        assertThat(CommandRunner.run("keys", "owner", "depot1", "--dir", dir).err())
                .contains("create an authority first");
        assertThat(CommandRunner.run("keys", "init", "--dir", dir).code()).isZero();
        assertThat(CommandRunner.run("keys", "init", "--dir", dir).code()).isEqualTo(1);
        assertThat(CommandRunner.run("keys", "server", "placer", "--dir", dir).code()).isZero();
        assertThat(
                        CommandRunner.run("keys", "owner", "depot1", "--days", "10", "--dir", dir)
                                .code())
                .isZero();
        CommandResult show = CommandRunner.run("keys", "show", "--dir", dir);
        assertThat(show.out()).containsPattern("depot1 +owner").contains("renew it");
        assertThat(show.code()).as("one expires soon").isEqualTo(1);
        assertThat(CommandRunner.run("keys", "show", "--dir", dir, "--soon-days", "5").code())
                .isZero();
        assertThat(CommandRunner.run("keys", "renew", "depot1", "--dir", dir).code()).isZero();
        assertThat(CommandRunner.runWithInput("s3cret\n", "keys", "passcode").out())
                .startsWith("$argon2id$");
    }
}
