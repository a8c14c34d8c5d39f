use std::{borrow::Cow, collections::HashMap, time::Duration};

use crate::{
    AgedFigure, FigureSource, MonotonicTime, TokenVerdict,
    shares::{
        GrantVerdict, ShareEntry, ShareGrant, ShareLimit, ShareSettings,
        workspace_share::WorkspaceShare,
    },
};

/// Longest wait reported with a refusal while no home responds. A home may
/// respond again long before.
const UNHEARD_WAIT_MAX: Duration = Duration::from_secs(1);

/// Demand in requests per second from which on a host holds an allowance ahead
/// of need. With less, most allowances would lapse unspent.
const RENEWAL_DEMAND_MIN: f64 = 2.0;

/// Minimum number of hosts among which a limit is split while no home responds,
/// since this host may know only few of them.
const SPLIT_HOSTS_MIN: usize = 8;

/// Whether a request may run at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareAdmission {
    /// An allowance covers the request.
    Admitted,
    /// A home must be asked.
    Ask,
}

/// The parts of an entry that a host needs to book the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentEntry {
    /// When the host asked.
    pub sent: MonotonicTime,
    /// Requests admitted without a token that the entry reported.
    pub overspent: u32,
}

/// The shares of workspaces' limits that a host holds, and what it may admit
/// while no home responds.
#[derive(Clone, Debug)]
pub struct ShareSpender {
    settings: ShareSettings,
    shares: HashMap<String, WorkspaceShare>,
    /// When this host first asked without a response since the last one.
    unanswered_since: Option<MonotonicTime>,
    /// When a home last responded.
    answered: Option<MonotonicTime>,
}

impl ShareSpender {
    /// Creates a spender without shares.
    pub fn open(settings: ShareSettings) -> Self {
        ShareSpender {
            settings,
            shares: HashMap::new(),
            unanswered_since: None,
            answered: None,
        }
    }

    /// Counts a caller's request, and admits it if an allowance is left.
    pub fn admit(&mut self, bucket: &str, limit: ShareLimit, now: MonotonicTime) -> ShareAdmission {
        if !self.shares.contains_key(bucket) {
            let share = WorkspaceShare::open(limit, now);
            self.shares.insert(bucket.to_owned(), share);
        }
        let Some(share) = self.shares.get_mut(bucket) else {
            return ShareAdmission::Ask;
        };
        share.update_limit(limit);
        share.record_request(&self.settings, now);
        match share.spend_allowance(&self.settings, now) {
            true => ShareAdmission::Admitted,
            false => ShareAdmission::Ask,
        }
    }

    /// Returns the entry to send to `home` for one waiting request, or for a
    /// renewal. Reports go to the first home only.
    pub fn entry<'b>(
        &mut self,
        bucket: &'b str,
        home: &str,
        rank: u8,
        needs_token: bool,
        now: MonotonicTime,
    ) -> Option<ShareEntry<'b>> {
        let settings = &self.settings;
        let share = self.shares.get_mut(bucket)?;
        self.unanswered_since = self.unanswered_since.or(Some(now));
        share.discard_lapsed(settings, now);
        let is_first = rank == 0;
        let demand = share.demand_per_s(settings, now);
        // A returned part that is lost on the way counts as spent.
        let returned = match is_first {
            true => std::mem::take(&mut share.unreturned),
            false => 0,
        };
        let is_debt_due = share
            .debt_sent
            .is_none_or(|sent| now.since(sent) >= settings.debt_interval);
        let overspent = match is_first && is_debt_due {
            true => share.debt,
            false => 0,
        };
        if overspent > 0 {
            share.debt_sent = Some(now);
        }
        if is_first {
            share.renewal_sent = Some(now);
        }
        let holds_ahead = is_first && demand >= RENEWAL_DEMAND_MIN;
        let holder = share.holder.as_ref();
        let moved = holder.filter(|holder| holder.value() != home);
        let moved = moved.map(|holder| holder.age(now));
        let moved = moved.filter(|age| *age < settings.window);
        Some(ShareEntry {
            bucket: Cow::Borrowed(bucket),
            limit: share.limit,
            rank,
            needs_token,
            wanted: match holds_ahead {
                true => share.wanted(settings, now),
                false => 0,
            },
            demand_per_s: demand as f32,
            returned,
            overspent,
            moved_ms: moved.and_then(|age| u32::try_from(age.as_millis()).ok()),
        })
    }

    /// Books the response of `home`. Returns the verdict on the waiting
    /// request; if none waits any more, its token is kept.
    pub fn record_grant(
        &mut self,
        bucket: &str,
        home: &str,
        grant: ShareGrant,
        entry: SentEntry,
        is_waiting: bool,
        now: MonotonicTime,
    ) -> Option<TokenVerdict> {
        self.unanswered_since = None;
        self.answered = Some(now);
        let settings = &self.settings;
        let share = self.shares.get_mut(bucket)?;
        if grant.is_holder {
            let home = AgedFigure::new(home.to_owned(), now, FigureSource::Own);
            share.holder = Some(home);
        }
        if entry.overspent > 0 {
            share.record_confirmation(entry.overspent);
        }
        share.add_allowance(settings, grant.allowance, entry.sent, now);
        match grant.verdict {
            GrantVerdict::NotAsked => None,
            GrantVerdict::Granted if is_waiting => Some(TokenVerdict::Granted),
            GrantVerdict::Granted => {
                // The request was admitted without this token.
                match share.debt {
                    0 if grant.validity_ms > 0 => {
                        share.add_allowance(settings, 1, entry.sent, now);
                    }
                    0 => {}
                    _ if share.debt_sent.is_none() => share.debt -= 1,
                    _ => share.unreturned += u32::from(grant.validity_ms > 0),
                }
                None
            }
            GrantVerdict::Denied(micros) => {
                share.record_denial(now);
                is_waiting.then_some(TokenVerdict::Denied(Duration::from_micros(micros)))
            }
        }
    }

    /// Decides on a request that no home responded to in time. `hosts` is the
    /// number of hosts in the fleet.
    ///
    /// A workspace that no home denied recently gets one request a host within
    /// the window, as long as the homes have been silent for a short time only.
    /// It is reported later. Otherwise this host spends its part of the rate.
    pub fn spend_unheard(
        &mut self,
        bucket: &str,
        hosts: usize,
        now: MonotonicTime,
    ) -> TokenVerdict {
        let is_stall = self.silence(now) < self.settings.stall_time;
        let hosts = hosts.max(SPLIT_HOSTS_MIN) as f64;
        let Some(share) = self.shares.get_mut(bucket) else {
            return TokenVerdict::Denied(UNHEARD_WAIT_MAX);
        };
        match share.spend_unheard(&self.settings, hosts, is_stall, now) {
            Ok(()) => TokenVerdict::Granted,
            Err(left) => {
                let wait = (1.0 - left) * hosts / share.limit.rate_per_s.max(f64::EPSILON);
                let wait = wait.min(UNHEARD_WAIT_MAX.as_secs_f64());
                TokenVerdict::Denied(Duration::from_secs_f64(wait))
            }
        }
    }

    /// Workspaces about which the first home should hear: a renewal is due,
    /// unspent allowances have lapsed, or debts are unconfirmed.
    pub fn due_reports(&mut self, now: MonotonicTime) -> Vec<String> {
        let settings = &self.settings;
        let mut due = Vec::new();
        for (bucket, share) in &mut self.shares {
            share.discard_lapsed(settings, now);
            let is_recent =
                |at: Option<MonotonicTime>, span| at.is_some_and(|at| now.since(at) < span);
            let owes = share.debt > 0 && !is_recent(share.debt_sent, settings.debt_interval);
            let demand = share.demand_per_s(settings, now);
            let renews = demand >= RENEWAL_DEMAND_MIN
                && !share.is_exhausted(settings, now)
                && f64::from(share.wanted(settings, now))
                    >= demand * settings.validity.as_secs_f64() / 2.0
                && !is_recent(share.renewal_sent, settings.validity / 4);
            if owes || renews || share.unreturned > 0 {
                due.push(bucket.clone());
            }
        }
        due
    }

    /// Time for which this host has asked without a response.
    pub fn silence(&self, now: MonotonicTime) -> Duration {
        self.unanswered_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Time since a home last responded to this host. `None` if none did.
    pub fn answer_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.answered.map(|at| now.since(at))
    }

    /// Discards the shares of workspaces without recent requests.
    pub fn discard_idle(&mut self, now: MonotonicTime) {
        let settings = &self.settings;
        self.shares.retain(|_, share| {
            share.discard_lapsed(settings, now);
            let is_used = share.demand_per_s(settings, now) > f64::EPSILON;
            is_used || share.debt > 0 || share.unreturned > 0 || share.holds_allowance()
        });
    }
}
