use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    backend::{
        BackendControl, BackendSettings, GrayFault, GrayMode, HealthReport, records::RunLog,
    },
    http::HttpResponse,
};

/// The changing state of a backend server.
#[derive(Debug)]
pub(crate) struct BackendState {
    pub(crate) faults: Vec<GrayFault>,
    pub(crate) health: HealthReport,
    pub(crate) load_claim: Option<u64>,
    pub(crate) draining: bool,
    pub(crate) shed_above: Option<usize>,
    pub(crate) work_ms: u64,
    /// In-flight requests, including those that wait for a slot.
    pub(crate) in_flight: usize,
    pub(crate) log: RunLog,
    /// Id of the previous request, for crossed answers.
    pub(crate) last_id: String,
    cold: bool,
    cold_slots: usize,
    warm: Duration,
    /// Set by the first request in cold start.
    warm_at: Option<Instant>,
    fall: Duration,
    down_until: Option<Instant>,
    flap: Duration,
    flap_start: Instant,
    random: SmallRng,
}

impl BackendState {
    pub(crate) fn new(settings: &BackendSettings) -> Self {
        BackendState {
            faults: Vec::new(),
            health: HealthReport::True,
            load_claim: None,
            draining: false,
            shed_above: settings.shed_above,
            work_ms: settings.work_ms,
            in_flight: 0,
            log: RunLog::default(),
            last_id: String::new(),
            cold: settings.cold,
            cold_slots: settings.cold_slots,
            warm: Duration::from_millis(settings.warm_ms),
            warm_at: None,
            fall: Duration::from_millis(settings.fall_ms),
            down_until: None,
            flap: Duration::ZERO,
            flap_start: Instant::now(),
            random: SmallRng::seed_from_u64(settings.seed),
        }
    }

    pub(crate) fn apply(&mut self, control: BackendControl) {
        if let Some(faults) = control.faults {
            self.faults = faults;
        }
        if let Some(flap_ms) = control.flap_ms {
            self.flap = Duration::from_millis(flap_ms);
            self.flap_start = Instant::now();
        }
        if let Some(health) = control.health {
            self.health = health;
        }
        if let Some(claim) = control.load_claim {
            self.load_claim = claim;
        }
        if let Some(cold) = control.cold {
            self.cold = cold;
            self.warm_at = None;
        }
        if let Some(draining) = control.draining {
            self.draining = draining;
        }
        if let Some(shed_above) = control.shed_above {
            self.shed_above = shed_above;
        }
        if let Some(work_ms) = control.work_ms {
            self.work_ms = work_ms;
        }
        if control.clear_records {
            self.log = RunLog::default();
        }
    }

    /// Whether the server is cold; its first request starts the warm-up.
    pub(crate) fn is_cold(&mut self) -> bool {
        if self.cold && self.warm_at.is_some_and(|at| at <= Instant::now()) {
            self.cold = false;
        }
        self.cold
    }

    /// Whether the server failed in cold start and has not recovered yet.
    pub(crate) fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| until > Instant::now())
    }

    /// Counts a request as in flight; an overloaded cold server fails.
    pub(crate) fn enter(&mut self) {
        self.in_flight += 1;
        let in_flight = self.in_flight as u64;
        let cold = self.is_cold();
        let summary = &mut self.log.summary;
        summary.concurrent_max = summary.concurrent_max.max(in_flight);
        if !cold {
            return;
        }
        summary.cold_concurrent_max = summary.cold_concurrent_max.max(in_flight);
        self.warm_at.get_or_insert(Instant::now() + self.warm);
        if self.in_flight > self.cold_slots && !self.is_down() {
            self.log.summary.falls += 1;
            self.down_until = Some(Instant::now() + self.fall);
            self.warm_at = None;
        }
    }

    /// Draws the fault of a request, if any.
    pub(crate) fn draw_fault(&mut self, path: &str) -> Option<GrayMode> {
        if !self.flap.is_zero() {
            let periods = self.flap_start.elapsed().as_millis() / self.flap.as_millis();
            if !periods.is_multiple_of(2) {
                return None;
            }
        }
        let random = &mut self.random;
        self.faults
            .iter()
            .filter(|fault| path.starts_with(&fault.path_prefix))
            .find(|fault| random.random_bool(fault.share.clamp(0.0, 1.0)))
            .map(|fault| fault.mode)
    }

    /// Adds the headers that report cold start and draining.
    pub(crate) fn with_state_headers(&mut self, answer: HttpResponse) -> HttpResponse {
        let answer = match self.is_cold() {
            true => answer.with("x-cold", 1),
            false => answer,
        };
        match self.draining {
            true => answer.with("x-draining", 1),
            false => answer,
        }
    }
}
