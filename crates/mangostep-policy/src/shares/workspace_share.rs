use std::collections::VecDeque;

use crate::{
    AgeBounds, AgedFigure, FigureSource, MonotonicTime,
    shares::{ShareLimit, ShareSettings},
};

/// What a host knows and holds of one workspace's limit.
#[derive(Clone, Debug)]
pub(super) struct WorkspaceShare {
    pub(super) limit: ShareLimit,
    /// Unspent allowances with the times at which they were asked for, the
    /// oldest first.
    allowances: VecDeque<AgedFigure<u32>>,
    /// Requests per second of callers at this host.
    demand: AgedFigure<f64>,
    /// Unspent allowances that have lapsed and were not reported yet.
    pub(super) unreturned: u32,
    /// Requests admitted without a token, not confirmed by the first home.
    pub(super) debt: u32,
    /// When the debt was last reported.
    pub(super) debt_sent: Option<MonotonicTime>,
    /// When an allowance was last asked for ahead of need.
    pub(super) renewal_sent: Option<MonotonicTime>,
    /// Requests that may still be admitted without a home.
    unheard: Option<AgedFigure<f64>>,
    /// The last denial by a home.
    denial: Option<MonotonicTime>,
    /// The home that last held the bucket.
    pub(super) holder: Option<AgedFigure<String>>,
}

impl WorkspaceShare {
    pub(super) fn open(limit: ShareLimit, now: MonotonicTime) -> Self {
        WorkspaceShare {
            limit,
            allowances: VecDeque::new(),
            demand: AgedFigure::new(0.0, now, FigureSource::Own),
            unreturned: 0,
            debt: 0,
            debt_sent: None,
            renewal_sent: None,
            unheard: None,
            denial: None,
            holder: None,
        }
    }

    /// Takes over the limit of the host's configuration. An allowance of a
    /// higher limit is not spent.
    pub(super) fn update_limit(&mut self, limit: ShareLimit) {
        if limit.rate_per_s < self.limit.rate_per_s || limit.burst < self.limit.burst {
            let unspent = self.allowances.drain(..).map(|figure| *figure.value());
            self.unreturned += unspent.sum::<u32>();
        }
        self.limit = limit;
    }

    /// Counts a caller's request.
    pub(super) fn record_request(&mut self, settings: &ShareSettings, now: MonotonicTime) {
        let gained = 1.0 / settings.demand_time.as_secs_f64();
        let demand = self.demand_per_s(settings, now) + gained;
        self.demand = AgedFigure::new(demand, now, FigureSource::Own);
    }

    pub(super) fn demand_per_s(&self, settings: &ShareSettings, now: MonotonicTime) -> f64 {
        self.demand.decayed(0.0, settings.demand_time, now)
    }

    /// Adds an allowance that was asked for at `sent`.
    pub(super) fn add_allowance(
        &mut self,
        settings: &ShareSettings,
        allowance: u32,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) {
        if allowance > 0 {
            let source = FigureSource::Own;
            self.allowances
                .push_back(AgedFigure::new(allowance, sent, source));
        }
        self.discard_lapsed(settings, now);
    }

    /// Moves lapsed allowances to those to be returned.
    pub(super) fn discard_lapsed(&mut self, settings: &ShareSettings, now: MonotonicTime) {
        let bounds = AgeBounds {
            fresh: settings.validity / 2,
            expired: settings.validity,
        };
        self.allowances.retain(|figure| {
            let is_valid = figure.unless_expired(bounds, now).is_some();
            if !is_valid {
                self.unreturned += figure.value();
            }
            is_valid && *figure.value() > 0
        });
    }

    /// Spends one request of the oldest valid allowance.
    pub(super) fn spend_allowance(&mut self, settings: &ShareSettings, now: MonotonicTime) -> bool {
        self.discard_lapsed(settings, now);
        let Some(oldest) = self.allowances.front_mut() else {
            return false;
        };
        *oldest = AgedFigure::new(oldest.value() - 1, oldest.observed(), oldest.source());
        true
    }

    /// Requests for which an allowance is worth asking for, so that the host
    /// can admit its demand for the validity of an allowance. Those that lapse
    /// soon don't count.
    pub(super) fn wanted(&self, settings: &ShareSettings, now: MonotonicTime) -> u32 {
        let expected = self.demand_per_s(settings, now) * settings.validity.as_secs_f64();
        let is_fresh = |figure: &&AgedFigure<u32>| figure.age(now) <= settings.validity / 2;
        let held = self.allowances.iter().filter(is_fresh);
        let held: u32 = held.map(|figure| *figure.value()).sum();
        (expected.ceil() as u32).saturating_sub(held)
    }

    /// Whether any allowance is left.
    pub(super) fn holds_allowance(&self) -> bool {
        !self.allowances.is_empty()
    }

    /// Records a denial by a home: the workspace uses up its limit, so nothing
    /// may be admitted beyond it.
    pub(super) fn record_denial(&mut self, now: MonotonicTime) {
        self.denial = Some(now);
        self.unheard = Some(AgedFigure::new(0.0, now, FigureSource::Own));
    }

    /// Whether a home denied a request within the window.
    pub(super) fn is_exhausted(&self, settings: &ShareSettings, now: MonotonicTime) -> bool {
        self.denial
            .is_some_and(|denial| now.since(denial) < settings.window)
    }

    /// Records that the first home deducted `count` requests of the debt.
    pub(super) fn record_confirmation(&mut self, count: u32) {
        self.debt = self.debt.saturating_sub(count);
        self.debt_sent = None;
        if self.debt == 0 {
            self.unheard = None;
        }
    }

    /// Admits a request although no home responds, or returns the tokens that
    /// are left.
    pub(super) fn spend_unheard(
        &mut self,
        settings: &ShareSettings,
        hosts: f64,
        may_start_full: bool,
        now: MonotonicTime,
    ) -> Result<(), f64> {
        let is_exhausted = self.is_exhausted(settings, now);
        let start = f64::from(u8::from(may_start_full && !is_exhausted));
        let gain = self.limit.rate_per_s / hosts;
        let tokens = match &self.unheard {
            None => start,
            Some(last) if last.age(now) >= settings.window => start.max(*last.value()),
            Some(last) => *last.value() + last.age(now).as_secs_f64() * gain,
        };
        let tokens = tokens.min(1.0);
        let is_admitted = tokens >= 1.0;
        let left = tokens - f64::from(u8::from(is_admitted));
        self.unheard = Some(AgedFigure::new(left, now, FigureSource::Own));
        if !is_admitted {
            return Err(left);
        }
        self.debt += 1;
        Ok(())
    }
}
