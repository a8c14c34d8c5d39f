use std::time::Duration;

use mangostep_policy::{ConsecutiveErrorDetector, MonotonicTime, ServerDetector};

use crate::{
    experiments::{
        Bound, ExperimentSettings, Figures,
        gray::{NOT_DETECTED_S, push_detection},
    },
    workload::{
        CellFault, CellSettings, CellWorkload, FaultMode, ejections, gray_detector, gray_modes,
        noisy_bursts, noisy_faults, verdicts_of,
    },
};

const FAULT_START: Duration = Duration::from_secs(20);
const DETECTOR_DURATION: Duration = Duration::from_secs(30);
const BASELINE_DURATION: Duration = Duration::from_secs(50);
const NOISE_DURATION: Duration = Duration::from_secs(600);
const SEED_COUNT: u64 = 2;
const NOISE_SEED_COUNT: u64 = 1;

/// Runs the detector and the baseline over simulated traffic, without starting
/// processes.
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

fn cell_settings(servers: usize, seed: u64) -> CellSettings {
    CellSettings {
        seed,
        servers,
        ..Default::default()
    }
}

/// Measures the detection times of both detectors for one mode of failure of
/// server `s01`, and the detector's false ejections.
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
    for seed in (0..SEED_COUNT).map(|offset| settings.seed + offset) {
        let mut workload =
            CellWorkload::new(cell_settings(servers, seed), vec![fault.clone()], vec![]);
        let mut detector = gray_detector(&workload, Default::default());
        let verdicts = verdicts_of(&mut detector, &mut workload, DETECTOR_DURATION);
        let ejected = ejections(&verdicts);
        let detection = ejected.iter().find(|(at, verdict)| {
            verdict.server == "s01" && at.since(MonotonicTime::ZERO) >= FAULT_START
        });
        let seconds = detection.map(|(at, _)| seconds_from_fault(*at));
        slowest = slowest
            .zip(seconds)
            .map(|(slowest, seconds)| slowest.max(seconds));
        false_ejections += ejected
            .iter()
            .filter(|(_, verdict)| verdict.server != "s01")
            .count();
        let workload = CellWorkload::new(cell_settings(servers, seed), vec![fault.clone()], vec![]);
        baseline.push(baseline_half_time(workload));
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

/// Returns the seconds until half of the hosts have ejected the faulty server,
/// each by its own observations.
fn baseline_half_time(mut workload: CellWorkload) -> f64 {
    let hosts = workload.names().hosts.len();
    let mut detector = ConsecutiveErrorDetector::default();
    let mut detected_s = NOT_DETECTED_S;
    run_baseline(
        &mut detector,
        &mut workload,
        BASELINE_DURATION,
        |detector, now| {
            let (ejecting, _) = detector.ejecting_hosts(now, "s01");
            if ejecting * 2 >= hosts && detected_s == NOT_DETECTED_S {
                detected_s = seconds_from_fault(now);
            }
        },
    );
    detected_s
}

/// Runs the baseline detector and calls `on_sample` after each sample that it
/// observes. A host sends nothing to a server that it has ejected.
fn run_baseline(
    detector: &mut ConsecutiveErrorDetector,
    workload: &mut CellWorkload,
    duration: Duration,
    mut on_sample: impl FnMut(&ConsecutiveErrorDetector, MonotonicTime),
) {
    let names = workload.names().clone();
    while let Some(ended) = workload.next_before(MonotonicTime::ZERO + duration) {
        let now = MonotonicTime::from_micros(ended.at_us);
        let sample = CellWorkload::sample(&names, &ended);
        if !detector.is_ejected_by(now, sample.server, sample.source) {
            detector.observe(now, sample);
            on_sample(detector, now);
        }
    }
}

/// Counts ejections of both detectors under bursts of load and short pauses,
/// without a gray failure: each is false.
fn measure_noise(settings: ExperimentSettings, name: &str, servers: usize, figures: &mut Figures) {
    let mut detector_ejections = 0;
    let mut baseline_ejections = 0;
    for seed in (0..NOISE_SEED_COUNT).map(|offset| settings.seed + offset) {
        let make_workload = || {
            CellWorkload::new(
                cell_settings(servers, seed),
                noisy_faults(servers),
                noisy_bursts(),
            )
        };
        let mut workload = make_workload();
        let mut detector = gray_detector(&workload, Default::default());
        let verdicts = verdicts_of(&mut detector, &mut workload, NOISE_DURATION);
        detector_ejections += ejections(&verdicts).len();
        let mut detector = ConsecutiveErrorDetector::default();
        run_baseline(
            &mut detector,
            &mut make_workload(),
            NOISE_DURATION,
            |_, _| {},
        );
        baseline_ejections += detector.host_ejections();
    }
    let minutes = NOISE_SEED_COUNT * NOISE_DURATION.as_secs() / 60;
    let detector_name = format!("drawn_{name}_noise_{minutes}min_false");
    figures.push(
        &detector_name,
        detector_ejections as f64,
        "ejections",
        Bound::AtMost(0.0),
    );
    let baseline_name = format!("drawn_{name}_noise_{minutes}min_baseline_false");
    figures.push(
        &baseline_name,
        baseline_ejections as f64,
        "host_ejections",
        Bound::None,
    );
}
