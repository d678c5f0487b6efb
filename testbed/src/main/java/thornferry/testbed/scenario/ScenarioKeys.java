package thornferry.testbed.scenario;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import thornferry.placer.Site;
import thornferry.security.Keys;
import thornferry.security.Tls;

/**
 * The keys of a scenario with TLS: an authority that all peers trust, and one certificate for all
 * placers and their proxies.
 *
 * @param folder where the files are
 */
record ScenarioKeys(Path folder) {
    private static final String AUTHORITY_SITE = "day";
    private static final String SERVER = "placer";
    private static final List<String> HOSTS = List.of("127.0.0.1");
    private static final Duration VALIDITY = Duration.ofDays(1);

    /** Issues new keys into a folder. */
    static ScenarioKeys issue(Path folder) throws IOException {
        Keys keys = new Keys(folder);
        keys.init(AUTHORITY_SITE, VALIDITY);
        keys.issue(SERVER, Keys.Use.SERVER, HOSTS, VALIDITY);
        return new ScenarioKeys(folder);
    }

    /** The files of a placer. */
    Site.TlsFiles serverFiles() {
        Keys keys = new Keys(folder);
        return new Site.TlsFiles(
                new Tls.Pem(keys.certificate(SERVER), keys.key(SERVER), keys.authority()),
                Tls.Clients.NONE);
    }

    /** A context of a placer or a proxy, for its peers. */
    SslContext newServerContext() throws IOException {
        Site.TlsFiles tls = serverFiles();
        return Tls.serverContext(tls.files(), tls.clients());
    }

    /** A context of a peer, which has no certificate of its own. */
    SslContext newClientContext() throws IOException {
        return Tls.clientContext(new Tls.Pem(null, null, new Keys(folder).authority()));
    }
}
