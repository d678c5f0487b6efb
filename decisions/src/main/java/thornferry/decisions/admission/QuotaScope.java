package thornferry.decisions.admission;

/** The group of owners whose usage a quota limits. */
public enum QuotaScope {
    /** One owner. */
    OWNER,
    /** All owners of one tenant together. */
    TENANT,
    /** All tenants together. */
    SITE
}
