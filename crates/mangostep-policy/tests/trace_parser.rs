//! Fuzz tests: no trace text may cause a panic in the parser or the replay.

use mangostep_testing::seeded;
use {bolero::check, mangostep_policy::replay::Trace};

const HEADERS: [&str; 2] = [
    r#"{"trace":1,"name":"x","about":"y","machine":{"detector":{}}}"#,
    r#"{"trace":1,"name":"x","about":"y","machine":{"retries":{}}}"#,
];

#[test]
fn arbitrary_text_does_not_panic() {
    check!()
        .exhaustive()
        .with_generator(seeded::<Vec<u8>>(20_000))
        .for_each(|bytes: &Vec<u8>| {
            let text = String::from_utf8_lossy(bytes);
            if let Ok(trace) = Trace::parse("fuzz", &text) {
                trace.replay();
            }
            for header in HEADERS {
                if let Ok(trace) = Trace::parse("fuzz", &format!("{header}\n{text}")) {
                    trace.replay();
                }
            }
        });
}

#[test]
fn extreme_times_and_latencies_do_not_panic() {
    check!()
        .exhaustive()
        .with_generator(seeded::<Vec<(u64, u64, u64, bool)>>(5_000))
        .for_each(|events| {
            let mut text = HEADERS[0].to_owned();
            let mut at = 0_u64;
            for (gap, header, total, is_late) in events {
                at = at.saturating_add(if *is_late { *gap } else { gap % 300_000 });
                let ended = format!("[\"s{}\",\"h1\",\"answered\",{header},{total}]", header % 3);
                text +=
                    &format!("\n{{\"at\":{at},\"ended\":{ended}}}\n{{\"at\":{at},\"judge\":{{}}}}");
            }
            Trace::parse("fuzz", &text).unwrap().replay();
        });
}
