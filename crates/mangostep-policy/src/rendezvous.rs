use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Orders hosts by their rendezvous hash for a resource, highest first.
///
/// The order depends only on the names, so all hosts that know the same names
/// compute the same order. When a host joins or leaves, only the resources that
/// it gains or loses move.
///
/// # Example
///
/// ```
/// use mangostep_policy::rendezvous_order;
///
/// let all = rendezvous_order("cell/ledger/a", ["h1", "h2", "h3"]);
/// let fewer = rendezvous_order("cell/ledger/a", ["h3", "h1", "h2"].into_iter().filter(|h| *h != all[2]));
/// assert_eq!(all[..2], fewer[..]);
/// ```
pub fn rendezvous_order<'h>(
    resource: &str,
    hosts: impl IntoIterator<Item = &'h str>,
) -> Vec<&'h str> {
    let seed = xxh3_64_with_seed(resource.as_bytes(), 0);
    let mut order: Vec<&str> = hosts.into_iter().collect();
    order.sort_by_key(|host| {
        (
            std::cmp::Reverse(xxh3_64_with_seed(host.as_bytes(), seed)),
            *host,
        )
    });
    order
}
