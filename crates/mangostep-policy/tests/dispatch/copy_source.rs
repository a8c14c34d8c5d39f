use mangostep_policy::CopySource;

/// A configuration grows by two thousand routes, and forty hosts of a zone
/// learn of it at once.
#[test]
fn a_large_change_is_read_from_the_store() {
    assert_eq!(CopySource::of(400_000, 40), CopySource::Store);
}

/// A few servers change their entries.
#[test]
fn a_small_change_is_read_from_a_host() {
    assert_eq!(CopySource::of(2_000, 40), CopySource::Host);
}
