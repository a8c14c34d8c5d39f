//! Validation of an entry host's settings.

use mangostep_daemon::ServeSettings;
use mangostep_testing::seeded;

fn read(text: &str) -> Result<ServeSettings, String> {
    ServeSettings::from_text("host.jsonc", text)
}

#[test]
fn invalid_settings_are_rejected_with_the_field_name() {
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
        let message = read(&format!("{{ {base}, \"{field}\": {value} }}")).unwrap_err();
        assert!(message.starts_with("host.jsonc:"), "{message}");
        assert!(message.contains(field), "{field}: {message}");
    }
    assert!(read("{}").unwrap_err().contains(": host: must be a name"));
    assert!(read(&format!("{{ {base} }}")).is_ok());
}

#[test]
fn arbitrary_text_never_panics_or_yields_an_empty_fleet() {
    bolero::check!()
        .exhaustive()
        .with_generator(seeded::<String>(2000))
        .for_each(|text: &String| {
            if let Ok(settings) = read(text) {
                assert!(!settings.fleet.is_empty());
            }
        });
}
