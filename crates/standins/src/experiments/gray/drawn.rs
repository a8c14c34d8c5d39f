use std::time::Duration;

use mangostep_policy::{ConsecutiveErrorDetector, MonotonicTime, ServerDetector};

use crate::{
    experiments::{
        Bound, ExperimentSettings, Figures,
        gray::{NOT_FOUND_S, push_detection},
    },
    workload::{
        CellFault, CellSettings, CellWorkload, FaultMode, ejections, gray_detector, gray_modes,
        noisy_bursts, noisy_faults, verdicts_of,
    },
};

const FAULT_START: Duration = Duration::from_secs(20);
const OURS_LENGTH: Duration = Duration::from_secs(30);
const BASELINE_LENGTH: Duration = Duration::from_secs(50);
const NOISE_LENGTH: Duration = Duration::from_secs(600);
const SEEDS: u64 = 2;
const NOISE_SEEDS: u64 = 1;

/// Runs both detectors over drawn traffic; no process is started.
pub(super) fn measure(settings: ExperimentSettings, figures: &mut Figures) {
    let cells = [("ledger", 30), ("refunds", 6), ("refunds_zone", 2)];
    for (name, servers) in cells {
        for (mode_name, mode) in gray_modes() {
            let label = mode_name.replace(", ", "_").replace([' ', '%'], "");
            measure_mode(settings, &format!("{name}_{label}"), servers, mode, figures);
        }
        measure_noise(settings, name, servers, figures);
    }
}

fn cell(servers: usize, seed: u64) -> CellSettings {
    CellSettings {
        seed,
        servers,
        ..Default::default()
    }
}

fn measure_mode(
    settings: ExperimentSettings,
    name: &str,
    servers: usize,
    mode: FaultMode,
    figures: &mut Figures,
) {
    let fault = CellFault {
        mode,
        server: Some(1),
        during: (FAULT_START, Duration::MAX),
        ..Default::default()
    };
    let mut slowest = Some(0.0_f64);
    let mut false_ejections = 0;
    let mut baseline = Vec::new();
    for seed in (0..SEEDS).map(|offset| settings.seed + offset) {
        let mut workload = CellWorkload::new(cell(servers, seed), vec![fault.clone()], vec![]);
        let mut detector = gray_detector(&workload, Default::default());
        let verdicts = verdicts_of(&mut detector, &mut workload, OURS_LENGTH);
        let found = ejections(&verdicts);
        let right = found.iter().find(|(at, verdict)| {
            verdict.server == "s01" && at.since(MonotonicTime::ZERO) >= FAULT_START
        });
        let seconds = right.map(|(at, _)| seconds_from_fault(*at));
        slowest = slowest.zip(seconds).map(|(slowest, own)| slowest.max(own));
        false_ejections += found
            .iter()
            .filter(|(_, verdict)| verdict.server != "s01")
            .count();
        let workload = CellWorkload::new(cell(servers, seed), vec![fault.clone()], vec![]);
        baseline.push(baseline_half(workload));
    }
    push_detection(figures, &format!("drawn_{name}"), slowest);
    let false_name = format!("drawn_{name}_false");
    figures.push(
        &false_name,
        false_ejections as f64,
        "ejections",
        Bound::AtMost(0.0),
    );
    baseline.sort_by(f64::total_cmp);
    let median = baseline[baseline.len() / 2];
    let baseline_name = format!("drawn_{name}_baseline_half");
    figures.push(&baseline_name, median, "s", Bound::None);
}

fn seconds_from_fault(at: MonotonicTime) -> f64 {
    at.since(MonotonicTime::ZERO + FAULT_START).as_secs_f64()
}

/// Time until half of the hosts eject the faulty server by themselves.
fn baseline_half(mut workload: CellWorkload) -> f64 {
    let hosts = workload.names().hosts.len();
    let mut detector = ConsecutiveErrorDetector::default();
    let mut found = NOT_FOUND_S;
    run_baseline(
        &mut detector,
        &mut workload,
        BASELINE_LENGTH,
        |detector, now| {
            let (ejecting, _) = detector.ejecting_hosts(now, "s01");
            if ejecting * 2 >= hosts && found == NOT_FOUND_S {
                found = seconds_from_fault(now);
            }
        },
    );
    found
}

/// Runs the baseline; a host sends nothing to a server that it ejected.
fn run_baseline(
    detector: &mut ConsecutiveErrorDetector,
    workload: &mut CellWorkload,
    length: Duration,
    mut look_on: impl FnMut(&ConsecutiveErrorDetector, MonotonicTime),
) {
    let names = workload.names().clone();
    while let Some(ended) = workload.next_before(MonotonicTime::ZERO + length) {
        let now = MonotonicTime::from_micros(ended.at_us);
        let sample = CellWorkload::sample(&names, &ended);
        if !detector.is_ejected_by(now, sample.server, sample.source) {
            detector.observe(now, sample);
            look_on(detector, now);
        }
    }
}

fn measure_noise(settings: ExperimentSettings, name: &str, servers: usize, figures: &mut Figures) {
    let mut own = 0;
    let mut baseline = 0;
    for seed in (0..NOISE_SEEDS).map(|offset| settings.seed + offset) {
        let make = || CellWorkload::new(cell(servers, seed), noisy_faults(servers), noisy_bursts());
        let mut workload = make();
        let mut detector = gray_detector(&workload, Default::default());
        let verdicts = verdicts_of(&mut detector, &mut workload, NOISE_LENGTH);
        own += ejections(&verdicts).len();
        let mut detector = ConsecutiveErrorDetector::default();
        run_baseline(&mut detector, &mut make(), NOISE_LENGTH, |_, _| {});
        baseline += detector.host_ejections();
    }
    let minutes = NOISE_SEEDS * NOISE_LENGTH.as_secs() / 60;
    let own_name = format!("drawn_{name}_noise_{minutes}min_false");
    figures.push(&own_name, own as f64, "ejections", Bound::AtMost(0.0));
    let baseline_name = format!("drawn_{name}_noise_{minutes}min_baseline_false");
    figures.push(
        &baseline_name,
        baseline as f64,
        "host_ejections",
        Bound::None,
    );
}
