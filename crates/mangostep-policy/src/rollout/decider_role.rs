use std::time::Duration;

use crate::{
    MonotonicTime,
    knowledge::{AgeBounds, AgedFigure, FigureSource},
    rollout::{
        DeciderView, PooledReports, RolloutDecider, RolloutOrder, RolloutReport, RolloutRow,
        RolloutSettings, RolloutState, RolloutStep, StepChange, StepRecord, VersionedRow,
    },
};

/// What a host knows of the fleet when it decides on a call to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleView {
    /// Position of this host among those that may decide, from 0; `None` if it
    /// may not.
    pub rank: Option<usize>,
    /// Number of hosts that should report.
    pub hosts: usize,
    /// Whether a server of the target version accepts requests.
    pub has_target: bool,
}

/// A call to the store that [`DeciderRole::tick`] asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum RoleAction {
    /// Reads the row of the service.
    Read,
    /// Writes the row if it still has the version `expected`; 0 means that it
    /// does not exist.
    Write {
        /// Version that the row must have.
        expected: u64,
        /// The new row.
        row: RolloutRow,
        /// The state to write for the operator, unless it was written already.
        state: Option<RolloutState>,
        /// The change of the step, if there is one.
        change: Option<StepChange>,
    },
}

/// The outcome of a [`RoleAction`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleEvent {
    /// The row was read; `None` if it does not exist.
    Read(Option<VersionedRow>),
    /// The row was written, and has this version.
    Written(u64),
    /// The row was not written, because it has another version.
    Conflict(Option<VersionedRow>),
    /// The store did not answer, or refused the call. A write may have taken
    /// effect or still do so.
    Failed,
}

/// One host's part in one roll-out: its knowledge of the step, and the right to
/// decide while it holds that.
///
/// The right is held by writes on the condition that the row was not written by
/// another host in between. It is not a lease: a decider that was frozen loses
/// it with its next write. Until then its reports are too old to be applied, or
/// superseded by those of its successor.
#[derive(Clone, Debug)]
pub struct DeciderRole {
    settings: RolloutSettings,
    host: String,
    incarnation: u64,
    version: u64,
    order: RolloutOrder,
    /// When this host read the order.
    opened: MonotonicTime,
    /// The latest step, with the time at which the decider's right to it was
    /// last confirmed.
    step: Option<AgedFigure<StepRecord>>,
    /// Name of the host that decided on the step; empty if unknown.
    decider: String,
    /// When the step was last confirmed or superseded, as far as this host
    /// knows.
    news: MonotonicTime,
    /// Time since the order as a decider stated it, and when that was read.
    stated_elapsed: Option<(Duration, MonotonicTime)>,
    held: Option<HeldRole>,
    pooled: PooledReports,
    /// A call that has not ended, with its start.
    call: Option<(RoleAction, MonotonicTime)>,
    next_call: MonotonicTime,
    /// Version and step of the row that this host is to take over.
    claim: Option<(u64, RolloutStep)>,
    renewal: u64,
}

#[derive(Clone, Copy, Debug)]
struct HeldRole {
    decider: RolloutDecider,
    /// Version of the row in the store.
    version: u64,
    /// A step that was decided on and is not written yet.
    wanted: Option<RolloutStep>,
    revision: u32,
    /// Start of the last write that the store confirmed.
    confirmed: MonotonicTime,
    /// The state that was last written for the operator.
    stated: Option<RolloutState>,
}

impl DeciderRole {
    /// Begins with an order that was read at `now`; `version` is its version in
    /// the store. Nothing is known of earlier steps.
    pub fn open(
        settings: RolloutSettings,
        host: &str,
        incarnation: u64,
        version: u64,
        order: RolloutOrder,
        now: MonotonicTime,
    ) -> Self {
        DeciderRole {
            settings,
            host: host.to_owned(),
            incarnation,
            version,
            order,
            opened: now,
            step: None,
            decider: String::new(),
            news: now,
            stated_elapsed: None,
            held: None,
            pooled: PooledReports::default(),
            call: None,
            next_call: now,
            claim: None,
            renewal: 0,
        }
    }

    /// The order that is carried out.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Version of the order in the store.
    pub fn order_version(&self) -> u64 {
        self.version
    }

    /// Whether this host decides.
    pub fn is_decider(&self) -> bool {
        self.held.is_some()
    }

    /// Name of the deciding host, as far as this host knows; empty if unknown.
    pub fn decider(&self) -> &str {
        &self.decider
    }

    /// The latest step with its age.
    pub fn step(&self) -> Option<&AgedFigure<StepRecord>> {
        self.step.as_ref()
    }

    /// Reports of all hosts, as far as this host hears them.
    pub fn pooled(&self) -> &PooledReports {
        &self.pooled
    }

    /// Time since the order.
    pub fn elapsed(&self, now: MonotonicTime) -> Duration {
        let own = now.since(self.opened);
        let stated = self.stated_elapsed;
        stated.map_or(own, |(elapsed, at)| own.max(elapsed + now.since(at)))
    }

    /// The step that this host applies: the latest one unless it is too old,
    /// otherwise [`RolloutStep::Held`].
    pub fn applied_step(&self, now: MonotonicTime) -> RolloutStep {
        let Some(figure) = &self.step else {
            return RolloutStep::Held;
        };
        let step = figure.value().step;
        let ttl = match step {
            RolloutStep::Held | RolloutStep::Completed | RolloutStep::RolledBack => return step,
            RolloutStep::Trial(_) => self.settings.trial_ttl,
            RolloutStep::Full => self.settings.full_ttl,
            RolloutStep::Draining => self.settings.drain_ttl,
        };
        let bounds = AgeBounds {
            fresh: ttl,
            expired: ttl,
        };
        let applied = figure.unless_expired(bounds, now);
        applied.map_or(RolloutStep::Held, |record| record.step)
    }

    /// Records what a host, or this one, reports.
    pub fn record_report(
        &mut self,
        host: &str,
        incarnation: u64,
        report: RolloutReport,
        source: FigureSource,
        now: MonotonicTime,
    ) {
        if report.order != self.version {
            return;
        }
        if let Some(record) = report.step {
            let age = Duration::from_millis(report.step_age_ms.into());
            let figure = AgedFigure::new(record, now - age, source);
            self.record_step(figure, &report.decider);
        }
        self.pooled
            .record(&self.settings, host, incarnation, report, now);
    }

    fn record_step(&mut self, figure: AgedFigure<StepRecord>, decider: &str) {
        let record = *figure.value();
        if record.order != self.version {
            return;
        }
        let is_later = match &mut self.step {
            None => {
                self.step = Some(figure);
                true
            }
            Some(known) if record.supersedes(known.value()) => {
                *known = figure;
                true
            }
            Some(known) => *known.value() == record && known.update(figure),
        };
        if is_later {
            self.news = self.news.max(figure.observed());
            decider.clone_into(&mut self.decider);
        }
        // Another host writes the row.
        if self.held.is_some_and(|held| record.version > held.version) && self.call.is_none() {
            self.held = None;
        }
    }

    /// Decides on the next call to the store. At most one call is pending.
    pub fn tick(&mut self, view: RoleView, now: MonotonicTime) -> Option<RoleAction> {
        let action = match self.held {
            Some(held) => self.decide(held, view, now),
            None if self.call.is_some() => None,
            None => self.follow(view, now),
        }?;
        self.call = Some((action.clone(), now));
        Some(action)
    }

    fn decide(&mut self, held: HeldRole, view: RoleView, now: MonotonicTime) -> Option<RoleAction> {
        let decider_view = DeciderView {
            duration: self.order.duration,
            elapsed: self.elapsed(now),
            hosts: view.hosts,
            store_age: now.since(held.confirmed),
            has_target: view.has_target,
            pooled: &self.pooled,
        };
        let record = self.own_record(&held);
        let next = held
            .decider
            .next_step(&self.settings, &record, &decider_view, now);
        let mut held = held;
        let change = match next {
            // A step back is in force before it is written.
            Some(change) if change.step == RolloutStep::RolledBack => {
                held.decider = RolloutDecider::open(change.step, &self.pooled, now);
                held.revision += 1;
                held.wanted = Some(change.step);
                let record = self.own_record(&held);
                let figure = AgedFigure::new(record, now, FigureSource::Own);
                self.held = Some(held);
                let host = self.host.clone();
                self.record_step(figure, &host);
                Some(change)
            }
            Some(change) if held.wanted.is_none() && self.call.is_none() => {
                held.wanted = Some(change.step);
                Some(change)
            }
            _ => None,
        };
        self.held = Some(held);
        let is_ended = held.decider.step().is_final() && held.wanted.is_none();
        let is_due = change.is_some() || now >= self.next_call;
        if is_ended || !is_due || self.call.is_some() {
            return None;
        }
        let step = held.wanted.unwrap_or(held.decider.step());
        Some(self.write(held.version, step, change, now))
    }

    fn own_record(&self, held: &HeldRole) -> StepRecord {
        StepRecord {
            order: self.version,
            version: held.version,
            revision: held.revision,
            step: held.decider.step(),
        }
    }

    fn write(
        &mut self,
        expected: u64,
        step: RolloutStep,
        change: Option<StepChange>,
        now: MonotonicTime,
    ) -> RoleAction {
        self.renewal += 1;
        self.next_call = now + self.settings.renew_interval;
        let row = RolloutRow {
            order: self.version,
            target: self.order.target.clone(),
            decider: self.host.clone(),
            incarnation: self.incarnation,
            renewal: self.renewal,
            step,
            elapsed_ms: u64::try_from(self.elapsed(now).as_millis()).unwrap_or(u64::MAX),
        };
        let stated = self.held.and_then(|held| held.stated);
        RoleAction::Write {
            expected,
            state: Some(row.state()).filter(|state| Some(*state) != stated),
            row,
            change,
        }
    }

    fn follow(&mut self, view: RoleView, now: MonotonicTime) -> Option<RoleAction> {
        if let Some((expected, step)) = self.claim.take()
            && view.rank.is_some()
        {
            return Some(self.write(expected, step, None, now));
        }
        let has_ended = self.step.is_some_and(|step| step.value().step.is_final());
        if has_ended || now < self.next_call {
            return None;
        }
        let silence = now.since(self.news);
        if silence < self.patience(view) {
            return None;
        }
        self.next_call = now + self.settings.retry_interval;
        Some(RoleAction::Read)
    }

    /// Time without news after which this host reads the row.
    fn patience(&self, view: RoleView) -> Duration {
        match view.rank {
            Some(0) if self.step.is_none() => Duration::ZERO,
            Some(rank) => {
                let rank = u32::try_from(rank).unwrap_or(u32::MAX);
                self.settings.takeover + self.settings.takeover_step.saturating_mul(rank)
            }
            None => self.settings.read_after,
        }
    }

    /// Records the outcome of the call that [`DeciderRole::tick`] asked for.
    pub fn record(&mut self, event: RoleEvent, now: MonotonicTime) {
        let Some((action, started)) = self.call.take() else {
            return;
        };
        match event {
            RoleEvent::Read(row) => self.record_read(row, now),
            RoleEvent::Written(version) => {
                if let RoleAction::Write { row, .. } = action {
                    self.record_written(version, &row, started, now);
                }
            }
            RoleEvent::Conflict(row) => self.record_conflict(row, now),
            RoleEvent::Failed => {
                self.next_call = now + self.settings.retry_interval;
                if let Some(held) = &mut self.held {
                    // A step up is decided on anew, on current evidence.
                    held.wanted = held.wanted.filter(|_| held.decider.step().is_final());
                }
            }
        }
    }

    fn record_read(&mut self, found: Option<VersionedRow>, now: MonotonicTime) {
        let (version, row) = match found {
            Some(found) => (found.version, found.row),
            None => (0, None),
        };
        let Some(row) = row.filter(|row| row.order >= self.version) else {
            self.claim = Some((version, RolloutStep::Held));
            return;
        };
        if row.order > self.version {
            // A newer order, which this host has not read yet.
            self.next_call = now + self.settings.read_after;
            return;
        }
        let is_own = row.decider == self.host;
        let is_news = self.learn(version, &row, now);
        if !row.step.is_final() && (is_own || !is_news) {
            self.claim = Some((version, row.step));
        }
    }

    /// Takes over the content of the row. Returns whether it was not known.
    fn learn(&mut self, version: u64, row: &RolloutRow, now: MonotonicTime) -> bool {
        let elapsed = Duration::from_millis(row.elapsed_ms);
        if elapsed > self.elapsed(now) {
            self.stated_elapsed = Some((elapsed, now));
        }
        let record = StepRecord {
            order: row.order,
            version,
            revision: 0,
            step: row.step,
        };
        let is_news = match &self.step {
            Some(known) => record.supersedes(known.value()),
            None => true,
        };
        // The row does not say whether its writer still decides.
        let observed = now - self.settings.full_ttl;
        let figure = AgedFigure::new(record, observed, FigureSource::Store);
        self.record_step(figure, &row.decider);
        if is_news {
            self.news = now;
        }
        is_news
    }

    fn record_written(
        &mut self,
        version: u64,
        row: &RolloutRow,
        started: MonotonicTime,
        now: MonotonicTime,
    ) {
        let step = row.step;
        let (decider, revision, wanted) = match self.held {
            Some(held) if held.decider.step() == step => (held.decider, 0, None),
            // The step back was decided on while an earlier write was pending.
            Some(held) if held.decider.step() == RolloutStep::RolledBack => {
                self.next_call = now;
                (held.decider, held.revision, held.wanted)
            }
            _ => (RolloutDecider::open(step, &self.pooled, now), 0, None),
        };
        let held = HeldRole {
            decider,
            version,
            wanted,
            revision,
            confirmed: started,
            stated: Some(row.state()),
        };
        self.held = Some(held);
        let record = self.own_record(&held);
        let figure = AgedFigure::new(record, started, FigureSource::Own);
        let host = self.host.clone();
        self.record_step(figure, &host);
    }

    fn record_conflict(&mut self, found: Option<VersionedRow>, now: MonotonicTime) {
        self.claim = None;
        let (version, row) = match found {
            Some(found) => (found.version, found.row),
            None => (0, None),
        };
        let is_own = row
            .as_ref()
            .is_some_and(|row| row.decider == self.host && row.incarnation == self.incarnation);
        if let (Some(held), Some(row)) = (self.held.as_mut().filter(|_| is_own), &row) {
            // An earlier write of this host took effect after all.
            held.version = version;
            held.stated = None;
            let is_adopted = held.decider.step() != RolloutStep::RolledBack
                || row.step == RolloutStep::Completed;
            if is_adopted && held.decider.step() != row.step {
                held.decider = RolloutDecider::open(row.step, &self.pooled, now);
            }
            if is_adopted {
                held.wanted = None;
            }
            self.next_call = now;
            return;
        }
        self.held = None;
        self.next_call = now + self.settings.retry_interval;
        if let Some(row) = row.filter(|row| row.order == self.version) {
            self.learn(version, &row, now);
        }
    }
}
