//! Matching of paths and host names to routes. A path in an unusual spelling
//! must not reach a server through a route that does not cover it.

use mangostep_objects::{NormalPath, ObjectSet, Snapshot, normalize_host};
use mangostep_testing::seeded;

fn snapshot() -> Snapshot {
    let text = r#"{ "objects": [
        { "kind": "zone", "name": "a", "region": "r" },
        { "kind": "service", "name": "s", "zones": ["a"] },
        { "kind": "route", "name": "open", "path": "/open/", "service": "s",
          "kind_of_request": 1 }
    ] }"#;
    // A route with an unknown field is rejected.
    assert!(ObjectSet::from_text("f", text).is_err());
    let text = r#"{ "objects": [
        { "kind": "zone", "name": "a", "region": "r" },
        { "kind": "service", "name": "s", "zones": ["a"] },
        { "kind": "route", "name": "open", "path": "/open/", "service": "s",
          "request_kind": "idempotent", "access": "open", "deadline_ms": 100 },
        { "kind": "route", "name": "closed", "path": "/closed/", "service": "s",
          "request_kind": "idempotent", "deadline_ms": 100 },
        { "kind": "route", "name": "deep", "path": "/open/deep/", "service": "s",
          "request_kind": "idempotent", "methods": ["GET"], "deadline_ms": 100 },
        { "kind": "route", "name": "hosted", "host": "Permits.Example", "path": "/open/",
          "service": "s", "request_kind": "idempotent", "deadline_ms": 100 }
    ] }"#;
    Snapshot::compile(1, &ObjectSet::from_files([("f", text)]).unwrap())
}

fn route_of(host: &str, path: &str, method: &str) -> Option<String> {
    let snapshot = snapshot();
    let path = NormalPath::parse(path)?;
    Some(snapshot.route(host, &path, method)?.route.name.clone())
}

#[test]
fn denormalized_paths_match_the_route_of_the_normalized_path() {
    for path in [
        "/open/../closed/x",
        "/open/%2e%2e/closed/x",
        "//closed//x",
        "/./closed/x",
    ] {
        assert_eq!(
            route_of("h", path, "GET").as_deref(),
            Some("closed"),
            "{path}"
        );
    }
}

#[test]
fn ambiguous_paths_are_rejected() {
    for path in [
        "/open%2fx",
        "/open/%5c..",
        "/a%00",
        "/../x",
        "x",
        "/a?b",
        "/%ff",
        "/a\\b",
    ] {
        assert_eq!(NormalPath::parse(path), None, "{path}");
    }
}

#[test]
fn prefixes_match_only_whole_segments() {
    assert_eq!(route_of("h", "/openly", "GET"), None);
    assert_eq!(route_of("h", "/open", "GET").as_deref(), Some("open"));
}

#[test]
fn most_specific_route_takes_precedence() {
    assert_eq!(
        route_of("h", "/open/deep/x", "GET").as_deref(),
        Some("deep")
    );
    assert_eq!(
        route_of("h", "/open/deep/x", "POST").as_deref(),
        Some("open")
    );
    assert_eq!(
        route_of("PERMITS.example.:8080", "/open/x", "GET").as_deref(),
        Some("hosted")
    );
}

#[test]
fn host_names_are_normalized() {
    assert_eq!(normalize_host("Permits.EXAMPLE.:443"), "permits.example");
    assert_eq!(normalize_host("[::1]:80"), "::1");
}

#[test]
fn normalization_is_idempotent() {
    bolero::check!()
        .exhaustive()
        .with_generator(seeded::<String>(2000))
        .for_each(|raw: &String| {
            let Some(path) = NormalPath::parse(&format!("/{raw}")) else {
                return;
            };
            assert!(path.as_str().starts_with('/'));
            assert!(
                !path.as_str().split('/').any(|segment| segment == ".."),
                "{path:?}"
            );
            assert_eq!(NormalPath::parse(path.as_str()).as_ref(), Some(&path));
        });
}
