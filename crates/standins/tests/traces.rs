//! The traces of the repository are those that the generator draws.

use standins::workload::recorded_traces;

#[test]
fn recorded_traces_are_drawn_again() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");
    for trace in recorded_traces() {
        let path = format!("{directory}/{}", trace.file);
        let kept = std::fs::read_to_string(&path).unwrap();
        assert!(kept == trace.text, "{path} differs: run draw_traces traces");
    }
}
