//! Settings of an entry host: what is wrong is named.

use mangostep_daemon::ServeSettings;
use mangostep_testing::seeded;

fn read(text: &str) -> Result<ServeSettings, String> {
    ServeSettings::from_text("host.jsonc", text)
}

#[test]
fn faults_name_their_field() {
    let base = r#""fleet": "f", "host": "h", "zone": "a""#;
    for (field, value) in [
        ("front_threads", "0"),
        ("ring_capacity", "0"),
        ("lookup_keep_ms", "0"),
        ("replay_bytes", "999999999999"),
        ("front", "\"nowhere\""),
        ("lease", "{ \"doubt_after_ms\": 3000 }"),
        ("frontt", "1"),
    ] {
        let fault = read(&format!("{{ {base}, \"{field}\": {value} }}")).unwrap_err();
        assert!(fault.starts_with("host.jsonc:"), "{fault}");
        assert!(fault.contains(field), "{field}: {fault}");
    }
    assert!(read("{}").unwrap_err().contains(": host: must be a name"));
    assert!(read(&format!("{{ {base} }}")).is_ok());
}

#[test]
fn any_text_is_read_or_refused() {
    bolero::check!()
        .exhaustive()
        .with_generator(seeded::<String>(2000))
        .for_each(|text: &String| {
            if let Ok(settings) = read(text) {
                assert!(!settings.fleet.is_empty());
            }
        });
}
