//! A short soak with fixed seeds; longer ones are run with the program `soak`.

use std::time::Duration;

use standins::soak::{SoakSettings, run_soak};

/// Runs one seed and fails with everything that it violated.
async fn run_seed(seed: u64) {
    let settings = SoakSettings {
        seed,
        duration: Duration::from_secs(8),
        ..Default::default()
    };
    let report = run_soak(&settings).await.expect("the fleet runs");
    let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    assert!(
        report.served > report.requests / 4,
        "seed {seed}: {} of {} served",
        report.served,
        report.requests
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_of_fixed_seeds_violates_no_guarantee() {
    for seed in [3, 17, 29] {
        run_seed(seed).await;
    }
}
