use mangostep_policy::CopySource;

/// A configuration grows by two thousand routes, and forty hosts of a zone
/// learn of it at once.
#[test]
fn a_large_change_is_read_from_the_store() {
    assert_eq!(CopySource::select(400_000, 40, 3, 10), CopySource::Store);
}

/// A few servers change their entries.
#[test]
fn a_small_change_is_read_from_a_host() {
    assert_eq!(CopySource::select(2_000, 40, 1, 10), CopySource::Host);
}

/// The same configuration, where three watchers or wide links share the load.
#[test]
fn wide_links_and_several_sources_carry_more() {
    assert_eq!(CopySource::select(400_000, 40, 2, 200), CopySource::Host);
    assert_eq!(CopySource::select(30_000, 40, 1, 10), CopySource::Store);
    assert_eq!(CopySource::select(30_000, 40, 3, 10), CopySource::Host);
}
