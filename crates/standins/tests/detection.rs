//! Detection over drawn traffic of a cell: how fast each gray mode is found,
//! and that nothing healthy is ejected.

use std::time::Duration;

use {
    mangostep_policy::{
        ConsecutiveErrorDetector, MonotonicTime, OutcomeKind, ServerAction, ServerVerdict,
    },
    standins::workload::{
        CellFault, CellSettings, CellWorkload, FaultMode, LoadBurst, ejections, gray_detector,
        gray_modes, noisy_bursts, noisy_faults, verdicts_of,
    },
};

const FAULT_START: Duration = Duration::from_secs(20);
const BOUND: Duration = Duration::from_secs(5);

/// Thirty servers in one cell, six in one cell, and the two of the six that
/// stand in one of three zones.
fn cells() -> [CellSettings; 3] {
    [30, 6, 2].map(|servers| CellSettings {
        servers,
        ..Default::default()
    })
}

fn run_gray(
    settings: CellSettings,
    faults: Vec<CellFault>,
    bursts: Vec<LoadBurst>,
    length: Duration,
) -> Vec<(MonotonicTime, ServerVerdict)> {
    let mut workload = CellWorkload::new(settings, faults, bursts);
    let mut detector = gray_detector(&workload, Default::default());
    verdicts_of(&mut detector, &mut workload, length)
}

#[test]
fn each_gray_mode_is_found_within_five_seconds() {
    let mut missed = Vec::new();
    for cell in cells() {
        for (name, mode) in gray_modes() {
            for seed in 1..=5 {
                let fault = CellFault {
                    mode,
                    server: Some(1),
                    during: (FAULT_START, Duration::MAX),
                    ..Default::default()
                };
                let settings = CellSettings {
                    seed,
                    ..cell.clone()
                };
                let verdicts = run_gray(settings, vec![fault], vec![], FAULT_START + BOUND);
                let found = ejections(&verdicts);
                let what = format!("{name}, {} servers, seed {seed}: {found:?}", cell.servers);
                let is_right = found.len() == 1
                    && found[0].1.server == "s01"
                    && found[0].0.since(MonotonicTime::ZERO) >= FAULT_START;
                if !is_right {
                    missed.push(what);
                }
            }
        }
    }
    assert!(missed.is_empty(), "{missed:#?}");
}

#[test]
fn ten_noisy_minutes_eject_nobody() {
    for cell in cells() {
        for seed in 1..=3 {
            let settings = CellSettings {
                seed,
                ..cell.clone()
            };
            let faults = noisy_faults(settings.servers);
            let length = Duration::from_secs(600);
            let verdicts = run_gray(settings, faults, noisy_bursts(), length);
            let found = ejections(&verdicts);
            assert!(
                found.is_empty(),
                "{} servers, seed {seed}: {found:?}",
                cell.servers
            );
        }
    }
}

#[test]
fn a_path_that_fails_ejects_no_server() {
    let paths = [
        (Some(3), None, Some(1)),
        (Some(3), None, None),
        (None, Some(1), Some(1)),
        (None, Some(1), None),
    ];
    let refused = FaultMode::Outcome(OutcomeKind::ConnectFailed, 1.0);
    for cell in cells() {
        for (host, zone, server) in paths {
            for mode in [FaultMode::Hang, refused] {
                let fault = CellFault {
                    mode,
                    server,
                    host,
                    zone,
                    during: (FAULT_START, Duration::MAX),
                    ..Default::default()
                };
                let length = Duration::from_secs(80);
                let verdicts = run_gray(cell.clone(), vec![fault.clone()], vec![], length);
                let found = ejections(&verdicts);
                assert!(
                    found.is_empty(),
                    "{} servers, {fault:?}: {found:?}",
                    cell.servers
                );
            }
        }
    }
}

#[test]
fn an_overloaded_cell_ejects_nobody() {
    for cell in cells() {
        for mode in [
            FaultMode::Slow(20.0),
            FaultMode::Hang,
            FaultMode::Outcome(OutcomeKind::Refused, 0.5),
            FaultMode::Outcome(OutcomeKind::ServerError, 0.4),
        ] {
            let fault = CellFault {
                mode,
                during: (FAULT_START, FAULT_START * 2),
                ..Default::default()
            };
            let verdicts = run_gray(cell.clone(), vec![fault], vec![], FAULT_START * 3);
            let found = ejections(&verdicts);
            assert!(
                found.is_empty(),
                "{} servers, {mode:?}: {found:?}",
                cell.servers
            );
        }
    }
}

#[test]
fn flapping_is_held_longer_each_time() {
    for cell in cells() {
        let fault = CellFault {
            mode: FaultMode::Outcome(OutcomeKind::ServerError, 1.0),
            server: Some(1),
            during: (FAULT_START, Duration::MAX),
            flapping: Some((Duration::from_secs(3), Duration::from_secs(3))),
            ..Default::default()
        };
        let length = Duration::from_secs(200);
        let verdicts = run_gray(cell.clone(), vec![fault], vec![], length);
        let found = ejections(&verdicts);
        assert!(found.iter().all(|(_, verdict)| verdict.server == "s01"));
        assert!(found.len() >= 3, "{found:?}");
        assert!(found[0].0.since(MonotonicTime::ZERO) <= FAULT_START + BOUND);
        for pair in found.windows(2) {
            let [first, second] = [pair[0].1.action, pair[1].1.action].map(|action| match action {
                ServerAction::Eject { hold } => hold,
                other => panic!("{other:?}"),
            });
            assert!(second > first, "{found:?}");
        }
    }
}

#[test]
fn a_mended_server_comes_back_by_a_trial() {
    let fault = CellFault {
        mode: FaultMode::Outcome(OutcomeKind::ServerError, 1.0),
        server: Some(1),
        during: (FAULT_START, FAULT_START + Duration::from_secs(5)),
        ..Default::default()
    };
    let length = Duration::from_secs(90);
    let verdicts = run_gray(CellSettings::default(), vec![fault], vec![], length);
    let actions: Vec<_> = verdicts.iter().map(|(_, verdict)| verdict.action).collect();
    let is_trial = matches!(
        actions[..],
        [
            ServerAction::Eject { .. },
            ServerAction::Suspect { weight: first },
            ServerAction::Suspect { weight: second },
            ServerAction::Readmit,
        ] if first < second
    );
    assert!(is_trial, "{verdicts:?}");
}

#[test]
fn the_baseline_finds_a_server_that_fails_always() {
    let fault = CellFault {
        mode: FaultMode::Outcome(OutcomeKind::ServerError, 1.0),
        server: Some(1),
        during: (FAULT_START, Duration::MAX),
        ..Default::default()
    };
    let mut workload = CellWorkload::new(CellSettings::default(), vec![fault], vec![]);
    let mut detector = ConsecutiveErrorDetector::new(Default::default());
    let verdicts = verdicts_of(&mut detector, &mut workload, FAULT_START * 3);
    assert_eq!(ejections(&verdicts)[0].1.server, "s01");
}
