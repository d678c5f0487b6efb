package thornferry.placer;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.security.Tls;

/**
 * The configuration of a running placer. A reload replaces the accounts, the certificates and the
 * limits of the admission queue, for new connections and requests; everything else needs a restart.
 * Safe for use by several threads.
 */
final class ReloadableConfiguration implements ConfigurationReloader {
    private static final Logger LOG = LoggerFactory.getLogger(ReloadableConfiguration.class);

    private final LoginAuthenticator authenticator;
    private final Consumer<Site> onReload;
    private volatile Site site;
    private volatile Optional<SslContext> tls;
    private volatile String lastReload = "";
    private volatile Placer.Source source =
            () -> {
                throw new IOException("this placer was started without a file");
            };

    /**
     * @param onReload receives each new configuration
     * @throws IOException if a certificate or key cannot be read
     */
    ReloadableConfiguration(Site site, LoginAuthenticator authenticator, Consumer<Site> onReload)
            throws IOException {
        this.site = site;
        this.authenticator = authenticator;
        this.onReload = onReload;
        tls = tlsContext(site);
    }

    /** Returns the TLS context for new connections; empty if they are plain text. */
    Optional<SslContext> tls() {
        return tls;
    }

    /** Sets the source from which {@link #reload} reads. */
    void setSource(Placer.Source newSource) {
        source = newSource;
    }

    @Override
    public String lastReload() {
        return lastReload;
    }

    @Override
    public synchronized Optional<String> reload() {
        try {
            String restartNote = apply(source.read());
            lastReload = Instant.now() + ": good" + restartNote;
            LOG.info("configuration reloaded{}", restartNote);
            return Optional.empty();
        } catch (Exception e) {
            lastReload = Instant.now() + ": not reloaded, the former stays: " + e.getMessage();
            LOG.error(
                    "configuration not reloaded, the previous one stays in effect: {}",
                    e.getMessage());
            return Optional.of(String.valueOf(e.getMessage()));
        }
    }

    /**
     * Applies a new configuration. If an exception is thrown, nothing of it has been applied.
     *
     * @return a note on the changes that need a restart, to be appended to a message; empty if
     *     there are none
     */
    private String apply(Site next) throws IOException {
        if ((next.tls() == null) != (site.tls() == null)) {
            throw new IOException(
                    "tls: a port cannot change between plain text and TLS without a restart");
        }
        tls = tlsContext(next);
        authenticator.setAccounts(next.accounts());
        boolean placementUnchanged = next.placement().equals(site.placement());
        site = next;
        onReload.accept(next);
        return placementUnchanged
                ? ""
                : "; changes of classes, kinds, rules or prices wait for a restart";
    }

    private static Optional<SslContext> tlsContext(Site site) throws IOException {
        return site.tls() == null
                ? Optional.empty()
                : Optional.of(Tls.serverContext(site.tls().files(), site.tls().clients()));
    }
}
