use mangostep_policy::CopySource;

/// A configuration grows by 2000 routes, and forty hosts of a zone are
/// notified at once.
#[test]
fn large_change_is_read_from_the_store() {
    assert_eq!(CopySource::select(400_000, 40, 3, 10), CopySource::Store);
}

/// A few servers change their entries.
#[test]
fn small_change_is_read_from_a_host() {
    assert_eq!(CopySource::select(2_000, 40, 1, 10), CopySource::Host);
}

/// The same configuration, where three watchers or wide links share the load.
#[test]
fn wide_links_and_several_sources_allow_larger_changes() {
    assert_eq!(CopySource::select(400_000, 40, 2, 200), CopySource::Host);
    assert_eq!(CopySource::select(30_000, 40, 1, 10), CopySource::Store);
    assert_eq!(CopySource::select(30_000, 40, 3, 10), CopySource::Host);
}
