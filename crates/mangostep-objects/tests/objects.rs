//! Faults in objects are told with file, object, field and line, all at once.

use mangostep_objects::{KeyDigest, ObjectSet, Snapshot};
use mangostep_testing::seeded;

fn faults(text: &str) -> Vec<String> {
    let err = ObjectSet::from_files([("o.jsonc", text)]).unwrap_err();
    err.faults().iter().map(ToString::to_string).collect()
}

#[test]
fn several_faults_are_told_at_once() {
    let told = faults(
        r#"{ "objects": [
        { "kind": "zone", "name": "a", "region": "r" },
        { "kind": "service", "name": "s", "zones": ["a", "b"], "slots": 1, "cold_slots": 2 },
        { "kind": "service", "name": "t", "zones": ["a"],
          "try_timeout_ms": "2s" },
        { "kind": "key", "name": "k", "workspace": "w", "sha256": "12" },
        { "kind": "limit", "name": "l", "rate_per_s": 0, "burst": 0.5 },
        { "kind": "rout", "name": "x" }
    ] }"#,
    );
    let starts = [
        "o.jsonc:5: service t: try_timeout_ms: invalid type: string \"2s\", expected u64 \
         (a whole number of milliseconds)",
        "o.jsonc:6: key k: sha256: must be 64 hexadecimal digits",
        "o.jsonc:8: rout x: kind: expected one of",
        "o.jsonc:3: service s: zones: there is no zone `b`",
        "o.jsonc:3: service s: cold_slots: must be 1 to `slots`, which is 1",
        "o.jsonc:7: limit l: rate_per_s: must be more than 0",
        "o.jsonc:7: limit l: burst: must be at least 1",
    ];
    assert_eq!(told.len(), starts.len(), "{told:#?}");
    for (fault, start) in told.iter().zip(starts) {
        assert!(fault.starts_with(start), "{fault}\n{start}");
    }
}

#[test]
fn syntax_and_unknown_fields_name_their_line() {
    assert!(faults("{ \"objects\": [\n{ \"kind\" \"zone\" }\n] }")[0].starts_with("o.jsonc:2: "));
    let told = faults(
        "{ \"objects\": [\n{ \"kind\": \"zone\", \"name\": \"a\",\n \"size\": 3, \"region\": \"r\" }] }",
    );
    assert!(
        told[0].starts_with("o.jsonc:3: zone a: size: unknown field"),
        "{told:?}"
    );
}

#[test]
fn doubled_names_digests_and_routes_are_told() {
    let digest = "a".repeat(64);
    let told = faults(&format!(
        r#"{{ "objects": [
        {{ "kind": "zone", "name": "a", "region": "r" }},
        {{ "kind": "zone", "name": "a", "region": "r" }},
        {{ "kind": "limit", "name": "l", "rate_per_s": 1, "burst": 1 }},
        {{ "kind": "workspace", "name": "w", "limit": "l" }},
        {{ "kind": "key", "name": "k1", "workspace": "w", "sha256": "{digest}" }},
        {{ "kind": "key", "name": "k2", "workspace": "w", "sha256": "{digest}" }},
        {{ "kind": "service", "name": "s", "zones": ["a"] }},
        {{ "kind": "route", "name": "r1", "path": "/x", "service": "s",
           "request_kind": "idempotent", "deadline_ms": 5 }},
        {{ "kind": "route", "name": "r2", "path": "/x/", "service": "s",
           "request_kind": "idempotent", "deadline_ms": 5 }}
    ] }}"#
    ));
    assert_eq!(told.len(), 3, "{told:#?}");
    assert!(told[0].contains("there is another zone `a`"));
    assert!(told[1].contains("key `k1` has the same digest"));
    assert!(told[2].contains("route `r1` takes the same requests"));
}

#[test]
fn the_examples_are_whole() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for set in ["repairs", "permits"] {
        let mut texts = Vec::new();
        for entry in std::fs::read_dir(format!("{root}/{set}")).unwrap() {
            let path = entry.unwrap().path();
            texts.push((
                path.display().to_string(),
                std::fs::read_to_string(&path).unwrap(),
            ));
        }
        let files = texts
            .iter()
            .map(|(file, text)| (file.as_str(), text.as_str()));
        let set = ObjectSet::from_files(files).unwrap_or_else(|err| panic!("{err}"));
        assert!(!set.routes.is_empty() && !set.keys.is_empty());
    }
}

#[test]
fn keys_are_found_by_digest_and_never_shown() {
    let mut set = ObjectSet::default();
    let text = format!(
        r#"{{ "kind": "key", "name": "k", "workspace": "w", "sha256": "{}" }}"#,
        "0".repeat(64)
    );
    let text = format!("{{ \"objects\": [{text}] }}");
    set.merge(ObjectSet::from_text("f", &text).unwrap());
    set.keys[0].sha256 = KeyDigest::of(b"secret");
    let snapshot = Snapshot::compile(1, &set);
    assert_eq!(snapshot.workspace_for_key(b"secret"), Some("w"));
    assert_eq!(snapshot.workspace_for_key(b"secret "), None);
    let hex = format!("{:02x}", KeyDigest::of(b"secret").as_bytes()[0]);
    assert!(!format!("{:?}", set.keys[0]).contains(&format!("\"{hex}")));
    assert!(format!("{:?}", set.keys[0]).contains("KeyDigest(..)"));
}

#[test]
fn any_text_gives_objects_or_faults() {
    bolero::check!()
        .exhaustive()
        .with_generator(seeded::<String>(2000))
        .for_each(|text: &String| {
            if let Err(err) = ObjectSet::from_files([("f", text.as_str())]) {
                assert!(!err.faults().is_empty());
            }
        });
}
