use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Orders hosts by their rendezvous weight for a resource, best first.
///
/// Every host that knows the same names gets the same order, and a host that
/// joins or leaves moves only the resources that it wins or held.
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
