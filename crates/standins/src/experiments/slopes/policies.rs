use std::{hint::black_box, time::Duration};

use mangostep_objects::{NormalPath, Snapshot};
use mangostep_policy::{
    DetectionSettings, FleetLimit, GrayDetector, KeeperAction, KeeperEvent, KeeperRole,
    KeeperSettings, LeaseRecord, LeaseTimes, LeaseWatch, LimitHome, ListedServer, Machine,
    MonotonicTime, OutcomeKind, PermitRequest, SlotKeeper, SlotRelease,
};

use crate::{
    allocation::{live_bytes, thread_cpu},
    experiments::{Bound, ExperimentSettings, Figures, slopes::line::SizeLine},
    generate::{ObjectCounts, generate_objects, generated_secret, generated_workspace},
};

const WORKSPACE_COUNTS: [usize; 4] = [1_000, 8_000, 24_000, 72_000];
const ROUTE_COUNTS: [usize; 3] = [500, 2_000, 5_600];
const SERVER_COUNTS: [usize; 4] = [5, 20, 80, 320];
const HOST_COUNTS: [usize; 4] = [44, 178, 445, 890];
const TIMED_CALLS: usize = 20_000;

/// Servers in one cell at the target size: 11,000 servers over 430 services in
/// 6 availability zones, rounded up.
const CELL_SERVERS: f64 = 5.0;

/// Measures memory and CPU time of the policies and the snapshot in this
/// process.
pub(crate) fn measure(settings: ExperimentSettings, figures: &mut Figures) {
    measure_workspaces(settings.seed, figures);
    measure_routes(settings.seed, figures);
    measure_limit_home(figures);
    measure_slot_keeper(figures);
    measure_lease_watch(figures);
}

/// Runs `call` for `calls` times with a running number; returns its mean CPU
/// time in nanoseconds.
fn time_calls(calls: usize, mut call: impl FnMut(usize)) -> f64 {
    let start = thread_cpu();
    for number in 0..calls {
        call(number);
    }
    (thread_cpu() - start).as_nanos() as f64 / calls as f64
}

fn measure_workspaces(seed: u64, figures: &mut Figures) {
    let mut bytes = SizeLine::default();
    let mut compile = SizeLine::default();
    let mut check = SizeLine::default();
    for size in WORKSPACE_COUNTS {
        let counts = ObjectCounts {
            workspaces: size,
            ..Default::default()
        };
        let set = generate_objects(counts, seed);
        let before = live_bytes();
        let start = thread_cpu();
        let snapshot = Snapshot::compile(1, &set);
        compile.push(size as f64, (thread_cpu() - start).as_secs_f64() * 1000.0);
        bytes.push(size as f64, (live_bytes() - before) as f64);
        let secrets: Vec<String> = (0..256)
            .map(|number| generated_workspace(number * size / 256))
            .map(|workspace| generated_secret(&workspace, 0, seed))
            .collect();
        let cost = time_calls(TIMED_CALLS, |number| {
            black_box(snapshot.workspace_for_key(secrets[number % 256].as_bytes()));
        });
        check.push(size as f64, cost);
    }
    let target = 72_000.0;
    bytes.push_figures(
        "snapshot_by_workspaces",
        "bytes",
        target,
        Bound::None,
        figures,
    );
    compile.push_figures("snapshot_compile", "ms", target, Bound::None, figures);
    check.push_figures("key_check", "ns", target, Bound::None, figures);
}

fn measure_routes(seed: u64, figures: &mut Figures) {
    let mut line = SizeLine::default();
    for size in ROUTE_COUNTS {
        let counts = ObjectCounts {
            workspaces: 1_000,
            routes: size,
            ..Default::default()
        };
        let snapshot = Snapshot::compile(1, &generate_objects(counts, seed));
        let paths: Vec<(String, NormalPath)> = (0..256)
            .map(|number| number * size / 256)
            .filter_map(|route| {
                let path = NormalPath::parse(&format!("/part-{route:04}/x"))?;
                Some((format!("app-{:03}.example", route % 430), path))
            })
            .collect();
        let cost = time_calls(TIMED_CALLS, |number| {
            let (host, path) = &paths[number % paths.len()];
            black_box(snapshot.route(host, path, "GET").is_some());
        });
        line.push(size as f64, cost);
    }
    line.push_figures("route_match", "ns", 5_600.0, Bound::None, figures);
}

fn measure_limit_home(figures: &mut Figures) {
    let mut bytes = SizeLine::default();
    let mut take = SizeLine::default();
    let limit = FleetLimit {
        rate_micro_per_s: 1_000_000_000,
        burst_micro: 1_000_000_000,
    };
    for size in WORKSPACE_COUNTS {
        let names: Vec<String> = (0..size).map(generated_workspace).collect();
        let now = MonotonicTime::from_micros(1);
        let before = live_bytes();
        let mut home = LimitHome::open(0, now);
        for name in &names {
            home.take(now, name, limit, 1);
        }
        bytes.push(size as f64, (live_bytes() - before) as f64);
        let cost = time_calls(TIMED_CALLS, |number| {
            let later = now + Duration::from_micros(number as u64);
            black_box(home.take(later, &names[number * 31 % size], limit, 1));
        });
        take.push(size as f64, cost);
    }
    bytes.push_figures("limit_home_state", "bytes", 72_000.0, Bound::None, figures);
    take.push_figures("limit_home_take", "ns", 72_000.0, Bound::None, figures);
}

fn measure_slot_keeper(figures: &mut Figures) {
    let mut bytes = SizeLine::default();
    let mut turn = SizeLine::default();
    for size in SERVER_COUNTS {
        let before = live_bytes();
        let mut cell = CellBench::open(size);
        // Fills the detector with as many outcomes as its history holds.
        time_calls(TIMED_CALLS, |number| cell.run_request(number));
        bytes.push(size as f64, live_bytes().saturating_sub(before) as f64);
        turn.push(
            size as f64,
            time_calls(TIMED_CALLS, |number| cell.run_request(TIMED_CALLS + number)),
        );
    }
    bytes.push_figures(
        "slot_keeper_state",
        "bytes",
        CELL_SERVERS,
        Bound::None,
        figures,
    );
    turn.push_figures("slot_keeper_turn", "ns", CELL_SERVERS, Bound::None, figures);
}

/// A cell whose servers answer every request in 20 ms.
struct CellBench {
    keeper: SlotKeeper<GrayDetector>,
    actions: Vec<KeeperAction>,
}

impl CellBench {
    fn open(servers: usize) -> Self {
        let now = MonotonicTime::from_micros(1);
        let detector = GrayDetector::new(DetectionSettings::default());
        let role = KeeperRole::HeldFrom(now);
        let mut bench = CellBench {
            keeper: SlotKeeper::new(KeeperSettings::default(), role, detector),
            actions: Vec::new(),
        };
        let listed = (0..servers).map(|number| ListedServer {
            name: format!("server-{number:04}"),
            is_leaving: false,
        });
        let event = KeeperEvent::Servers(listed.collect());
        bench.keeper.apply(now, event, &mut bench.actions);
        bench
    }

    /// Runs one request: permit request, grant and release.
    fn run_request(&mut self, number: usize) {
        let now = MonotonicTime::from_micros(1 + number as u64 * 1000);
        let request = PermitRequest {
            ticket: number as u64,
            workspace: "workspace-00001".to_owned(),
            time_left: Duration::from_secs(1),
            ..Default::default()
        };
        self.actions.clear();
        self.keeper
            .apply(now, KeeperEvent::Request(request), &mut self.actions);
        let granted = self.actions.iter().find_map(|action| match action {
            KeeperAction::Grant { permit, .. } => Some(*permit),
            _ => None,
        });
        let Some(permit) = granted else {
            return;
        };
        let release = SlotRelease {
            permit,
            source: "a0".to_owned(),
            outcome: OutcomeKind::Answered,
            header: Duration::from_millis(20),
            total: Duration::from_millis(20),
        };
        self.actions.clear();
        self.keeper
            .apply(now, KeeperEvent::Release(release), &mut self.actions);
    }
}

fn measure_lease_watch(figures: &mut Figures) {
    let mut bytes = SizeLine::default();
    let mut read = SizeLine::default();
    for size in HOST_COUNTS {
        let before = live_bytes();
        let mut watch = LeaseWatch::new(LeaseTimes::default());
        let records = |number: u64| -> Vec<LeaseRecord> {
            (0..size)
                .map(|host| LeaseRecord {
                    host: format!("host-{host:04}"),
                    incarnation: 7,
                    number,
                    confirmed: number,
                    member_set: 1,
                })
                .collect()
        };
        let readings: Vec<Vec<LeaseRecord>> = (1..=20).map(records).collect();
        let before_readings = live_bytes();
        let cost = time_calls(readings.len(), |number| {
            let now = MonotonicTime::from_micros(1_500_000 * (1 + number as u64));
            watch.add_reading(now, now, &readings[number]);
        });
        bytes.push(size as f64, (live_bytes() - before_readings) as f64);
        read.push(size as f64, cost / 1000.0);
        debug_assert!(before_readings >= before);
    }
    bytes.push_figures("lease_watch_state", "bytes", 890.0, Bound::None, figures);
    read.push_figures("lease_watch_reading", "us", 890.0, Bound::None, figures);
}
