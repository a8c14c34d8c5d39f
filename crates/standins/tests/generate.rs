//! Generated object sets pass the check and are reproducible from their seed.

use {
    mangostep_objects::Snapshot,
    standins::generate::{ObjectCounts, generate_objects, generated_secret, generated_workspace},
};

#[test]
fn set_of_target_size_passes_check() {
    let set = generate_objects(ObjectCounts::default(), 3);
    assert_eq!(set.workspaces.len(), 72_000);
    assert_eq!(set.keys.len(), 72_000);
    assert_eq!(set.routes.len(), 5_600);
    assert_eq!(set.services.len(), 430);
    assert_eq!(set.zones.len(), 6);
    set.check().expect("the generated set is valid");
    let snapshot = Snapshot::compile(1, &set);
    let workspace = generated_workspace(71_999);
    let secret = generated_secret(&workspace, 0, 3);
    assert_eq!(
        snapshot.workspace_for_key(secret.as_bytes()),
        Some(workspace.as_str())
    );
}

#[test]
fn same_seed_generates_same_set() {
    let counts = ObjectCounts {
        workspaces: 50,
        routes: 40,
        services: 5,
        ..Default::default()
    };
    assert_eq!(generate_objects(counts, 7), generate_objects(counts, 7));
    assert_ne!(generate_objects(counts, 7), generate_objects(counts, 8));
}
