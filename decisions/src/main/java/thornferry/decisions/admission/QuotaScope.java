package thornferry.decisions.admission;

public enum QuotaScope {
    OWNER,
    TENANT,
    SITE
}
