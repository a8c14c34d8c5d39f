use std::{ops::Range, time::Duration};

use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};

use crate::{AnswerMode, proxy::LinkRule, soak::SoakSettings};

/// A fault that a soak injects.
///
/// The derived `Debug` text is written to the records, and the checks parse it.
#[derive(Clone, Debug, PartialEq)]
pub enum SoakFault {
    /// Kills a host and starts it again at the end of the fault.
    KillHost(usize),
    /// Shuts a host down gracefully and starts it again.
    StopHost(usize),
    /// Pauses a host's process with SIGSTOP.
    PauseHost(usize),
    /// Signals to a host that its settings may have changed (SIGHUP).
    HangUpHost(usize),
    /// Kills all hosts at once.
    KillAllHosts,
    /// The store refuses all calls with an error status.
    RefuseCalls(u16),
    /// The store executes the calls and drops the answers.
    LoseAnswers,
    /// The store discards its change history.
    ForgetHistory,
    /// The store saves a copy of itself, and loses what is written until the end
    /// of the fault. A second later its writers write that again.
    RestoreStore,
    /// The writers of lost rows write them again.
    RewriteRows,
    /// The link between one host and the store is cut or delayed.
    CutStore(usize, LinkRule),
    /// Open connections between one host and the store go silent permanently.
    SilenceStore(usize),
    /// Open connections between all hosts and the store go silent permanently.
    SilenceAllStores,
    /// A backend server states that it takes so many requests per second.
    StateLimit(usize, f64),
    /// A backend server states that it leaves, while its entry says `ready`; it
    /// is replaced at the end of the fault.
    StateLeaving(usize),
    /// A backend server sheds a share of its requests, and states so many
    /// milliseconds for which it wants none.
    StateWait(usize, f64, u64),
    /// A backend server misbehaves on a share of its requests.
    SpoilServer(usize, AnswerMode, f64),
    /// The link to a backend server is cut or delayed.
    CutServer(usize, LinkRule),
    /// Open connections to a backend server go silent permanently.
    SilenceServer(usize),
    /// Open connections to a backend server are reset.
    ResetServer(usize),
    /// A backend server crashes; a replacement starts at its address.
    CrashServer(usize),
    /// A backend server crashes, and starts again under its id in cold start.
    RestartCold(usize),
    /// A backend server turns cold while it runs.
    TurnCold(usize),
    /// A backend server is set to draining, removed and replaced.
    DrainServer(usize),
    /// The entries of servers with consecutive numbers are removed at once,
    /// without a notice; the servers serve on until they are replaced.
    RemoveServers(Range<usize>),
    /// A workspace's key is revoked and replaced by a new one.
    RevokeKey(usize),
    /// A number of routes is added to the configuration.
    GrowConfiguration(usize),
}

/// A scheduled fault.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SoakEvent {
    /// When the fault begins, relative to the start of the fault runner.
    pub(crate) at: Duration,
    /// How long the fault lasts; unused for faults without a duration.
    pub(crate) span: Duration,
    pub(crate) fault: SoakFault,
}

/// Draws the faults of a soak, sorted by time.
pub(crate) fn draw_events(settings: &SoakSettings) -> Vec<SoakEvent> {
    let mut random = SmallRng::seed_from_u64(settings.seed);
    let mut events = draw_planned_operations(settings, &mut random);
    events.extend(draw_removals(settings));
    events.extend(draw_cold_starts(settings));
    events.push(draw_restore(settings));
    let mut at = Duration::ZERO;
    loop {
        // Faults come in bursts: 30 % follow the previous one within 80 ms.
        let interval = match random.random_bool(0.3) {
            true => Duration::from_millis(random.random_range(0..80)),
            false => settings
                .fault_interval
                .mul_f64(random.random_range(0.3..2.2)),
        };
        at += interval;
        if at >= settings.duration {
            events.sort_by_key(|event| event.at);
            return events;
        }
        events.push(SoakEvent {
            at,
            span: Duration::from_millis(random.random_range(300..3_500)),
            fault: draw_fault(settings, &mut random),
        });
    }
}

/// Draws the planned operations that are part of every soak, because each of
/// them has its own bound to check.
fn draw_planned_operations(settings: &SoakSettings, random: &mut impl Rng) -> Vec<SoakEvent> {
    let servers = settings.servers_per_zone * 3;
    let operations = [
        SoakFault::RevokeKey(random.random_range(0..3)),
        SoakFault::DrainServer(random.random_range(0..servers)),
        SoakFault::StopHost(random.random_range(0..settings.hosts_per_zone * 3)),
    ];
    let events = operations.into_iter().map(|fault| SoakEvent {
        at: settings.duration.mul_f64(random.random_range(0.0..1.0)),
        span: Duration::from_secs(2),
        fault,
    });
    events.collect()
}

/// Draws removals of servers. They have a random source of their own, so that
/// the other faults of a seed stay the same.
fn draw_removals(settings: &SoakSettings) -> Vec<SoakEvent> {
    let mut random = SmallRng::seed_from_u64(!settings.seed);
    let servers = settings.servers_per_zone * 3;
    let events = (0..2).map(|_| {
        let count = random.random_range(1..servers.div_ceil(2) + 1);
        let first = random.random_range(0..servers - count + 1);
        SoakEvent {
            at: settings.duration.mul_f64(random.random_range(0.0..1.0)),
            span: Duration::from_millis(random.random_range(1_000..3_500)),
            fault: SoakFault::RemoveServers(first..first + count),
        }
    });
    events.collect()
}

/// Draws cold starts of servers, with a random source of their own.
fn draw_cold_starts(settings: &SoakSettings) -> Vec<SoakEvent> {
    let mut random = SmallRng::seed_from_u64(settings.seed.rotate_left(32));
    let servers = settings.servers_per_zone * 3;
    let events = (0..4).map(|number| {
        let server = random.random_range(0..servers);
        SoakEvent {
            at: settings.duration.mul_f64(random.random_range(0.0..0.8)),
            span: Duration::from_millis(random.random_range(100..1_500)),
            fault: match number % 2 {
                0 => SoakFault::RestartCold(server),
                _ => SoakFault::TurnCold(server),
            },
        }
    });
    events.collect()
}

/// Draws a loss of the store's last writes, with a random source of its own.
fn draw_restore(settings: &SoakSettings) -> SoakEvent {
    let mut random = SmallRng::seed_from_u64(settings.seed.rotate_left(16));
    SoakEvent {
        at: settings.duration.mul_f64(random.random_range(0.0..0.9)),
        span: Duration::from_millis(random.random_range(500..4_000)),
        fault: SoakFault::RestoreStore,
    }
}

fn draw_fault(settings: &SoakSettings, random: &mut impl Rng) -> SoakFault {
    let hosts = settings.hosts_per_zone * 3;
    let servers = (settings.servers_per_zone + settings.servers_per_zone.div_ceil(2)) * 3;
    let host = random.random_range(0..hosts);
    let server = random.random_range(0..servers);
    let modes = [
        AnswerMode::Resets,
        AnswerMode::ResetsAfterRun,
        AnswerMode::Sheds,
        AnswerMode::RefusesAfterRun,
        AnswerMode::Fails,
        AnswerMode::AnswersTwice,
        AnswerMode::Unsigned,
        AnswerMode::CutsAnswers,
        AnswerMode::CutsHeads,
        AnswerMode::RepeatsRefusal,
        AnswerMode::Slow,
        AnswerMode::Hangs,
    ];
    let rules = [
        LinkRule::CUT_BOTH,
        LinkRule::CUT_TO_TARGET,
        LinkRule::CUT_TO_SOURCE,
        LinkRule {
            delay_ms: 120,
            ..LinkRule::default()
        },
    ];
    let mode = modes[random.random_range(0..modes.len())];
    let rule = rules[random.random_range(0..rules.len())];
    match random.random_range(0..100) {
        0..12 => SoakFault::KillHost(host),
        12..24 => SoakFault::StopHost(host),
        24..32 => SoakFault::PauseHost(host),
        32..34 => SoakFault::HangUpHost(host),
        34..36 => SoakFault::KillAllHosts,
        36..40 => SoakFault::RefuseCalls([503, 429][random.random_range(0..2)]),
        40..43 => SoakFault::LoseAnswers,
        43..46 => SoakFault::ForgetHistory,
        46..53 => SoakFault::CutStore(host, rule),
        53..57 => SoakFault::SilenceStore(host),
        57..58 => SoakFault::SilenceAllStores,
        58..61 => SoakFault::StateLimit(server, random.random_range(0.5..6.0)),
        61..63 => SoakFault::StateLeaving(server),
        63..66 => SoakFault::StateWait(
            server,
            random.random_range(0.3..1.0),
            random.random_range(700..2_500),
        ),
        66..72 => SoakFault::SpoilServer(server, mode, random.random_range(0.3..1.0)),
        72..78 => SoakFault::CutServer(server, rule),
        78..82 => SoakFault::SilenceServer(server),
        82..85 => SoakFault::ResetServer(server),
        85..89 => SoakFault::CrashServer(server),
        89..94 => SoakFault::DrainServer(server),
        94..98 => SoakFault::RevokeKey(random.random_range(0..3)),
        _ => SoakFault::GrowConfiguration(random.random_range(50..400)),
    }
}
