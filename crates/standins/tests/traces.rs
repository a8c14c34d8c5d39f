//! The traces in the repository equal the output of the generator.

use standins::workload::recorded_traces;

#[test]
fn recorded_traces_match_generator() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");
    for trace in recorded_traces() {
        let path = format!("{directory}/{}", trace.file);
        let recorded = std::fs::read_to_string(&path).unwrap();
        assert!(
            recorded == trace.text,
            "{path} differs: run draw_traces traces"
        );
    }
}
