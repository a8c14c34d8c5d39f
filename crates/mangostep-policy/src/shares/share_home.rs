use std::{
    borrow::Cow,
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    MonotonicTime, PeerKey,
    shares::{
        GrantVerdict, ShareEntry, ShareGrant, ShareLimit, ShareSettings, share_bucket::ShareBucket,
        standby_bucket::StandbyBucket,
    },
};

/// Time without requests after which a standby bucket is discarded. By then,
/// the hosts of the fleet agree on the first home.
const STANDBY_IDLE_TIME: Duration = Duration::from_secs(10);

/// Requests that a standby home granted, for a report to the first home.
#[derive(Clone, Debug, PartialEq)]
pub struct StandbyDebt {
    /// Name of the workspace.
    pub bucket: String,
    /// The limit that the hosts stated.
    pub limit: ShareLimit,
    /// Requests that the first home has not confirmed.
    pub count: u32,
}

impl StandbyDebt {
    /// The entry that reports the debt to the first home.
    pub fn entry(&self) -> ShareEntry<'_> {
        ShareEntry {
            bucket: Cow::Borrowed(&self.bucket),
            limit: self.limit,
            rank: 0,
            needs_token: false,
            wanted: 0,
            demand_per_s: 0.0,
            returned: 0,
            overspent: self.count,
            moved_ms: None,
        }
    }
}

/// Grants tokens and allowances of the workspaces whose limit home this host
/// is, or stands by for.
#[derive(Clone, Debug)]
pub struct ShareHome {
    settings: ShareSettings,
    /// Since when the same hosts have been limit homes.
    settled: MonotonicTime,
    buckets: HashMap<String, ShareBucket>,
    standbys: HashMap<String, StandbyBucket>,
    /// Responses to recent requests, which may be repeated.
    responses: HashMap<(PeerKey, u64), Option<Vec<ShareGrant>>>,
    order: VecDeque<(PeerKey, u64)>,
}

impl ShareHome {
    /// Creates a home without buckets.
    pub fn open(settings: ShareSettings, now: MonotonicTime) -> Self {
        ShareHome {
            settings,
            settled: now,
            buckets: HashMap::new(),
            standbys: HashMap::new(),
            responses: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records that other hosts than before are limit homes. A bucket that is
    /// opened later may have been held by another one until now.
    pub fn record_homes_change(&mut self, now: MonotonicTime) {
        self.settled = now;
    }

    /// Records that this host did not run for a while. Standby homes may have
    /// granted the tokens of that time.
    pub fn record_pause(&mut self, pause: Duration, now: MonotonicTime) {
        if pause < self.settings.takeover_time {
            return;
        }
        self.settled = now;
        for bucket in self.buckets.values_mut() {
            bucket.reset(&self.settings, now);
        }
        self.standbys.clear();
    }

    /// Responds to a request of a host. A repeated request gets the stored
    /// response. `None` if there is none: a standby home without tokens leaves
    /// the decision to the other homes.
    pub fn respond(
        &mut self,
        host: PeerKey,
        request: u64,
        entries: &[ShareEntry<'_>],
        now: MonotonicTime,
    ) -> Option<Vec<ShareGrant>> {
        if let Some(response) = self.responses.get(&(host, request)) {
            return response.clone();
        }
        let grants = entries.iter().map(|entry| self.decide(host, entry, now));
        let response: Option<Vec<ShareGrant>> = grants.collect();
        self.responses.insert((host, request), response.clone());
        self.order.push_back((host, request));
        if self.order.len() > self.settings.stored_decisions
            && let Some(oldest) = self.order.pop_front()
        {
            self.responses.remove(&oldest);
        }
        response
    }

    /// What this host granted as a standby home and the first home has not
    /// confirmed.
    pub fn standby_debts(&self) -> Vec<StandbyDebt> {
        let debts = self.standbys.iter().filter_map(|(name, standby)| {
            let (limit, count) = standby.debt()?;
            let bucket = name.clone();
            Some(StandbyDebt {
                bucket,
                limit,
                count,
            })
        });
        debts.collect()
    }

    /// Records that the first home of a workspace deducted `count` requests,
    /// and responded with `grant`.
    pub fn record_confirmation(
        &mut self,
        bucket: &str,
        count: u32,
        grant: ShareGrant,
        now: MonotonicTime,
    ) {
        if let Some(standby) = self.standbys.get_mut(bucket) {
            let is_exhausted = matches!(grant.verdict, GrantVerdict::Denied(_));
            standby.record_confirmation(&self.settings, count, is_exhausted, now);
        }
    }

    /// Discards buckets that have been idle for `idle_time`.
    pub fn discard_idle(&mut self, idle_time: Duration, now: MonotonicTime) {
        self.buckets
            .retain(|_, bucket| bucket.idle_time(now) < idle_time);
        self.standbys
            .retain(|_, standby| standby.idle_time(now) < STANDBY_IDLE_TIME);
    }

    fn decide(
        &mut self,
        host: PeerKey,
        entry: &ShareEntry<'_>,
        now: MonotonicTime,
    ) -> Option<ShareGrant> {
        let settings = &self.settings;
        let name = entry.bucket.as_ref();
        // While hosts disagree on the order of the homes, this one may be the
        // first for some of them.
        let is_first = |bucket: &ShareBucket| bucket.is_in_use(settings, now);
        if entry.rank > 0 && !self.buckets.get(name).is_some_and(is_first) {
            if !self.standbys.contains_key(name) {
                let standby = StandbyBucket::open(settings, entry.limit, now);
                self.standbys.insert(name.to_owned(), standby);
            }
            let standby = self.standbys.get_mut(name)?;
            let verdict = standby.take(settings, entry.limit, now)?;
            return Some(ShareGrant {
                verdict,
                allowance: 0,
                validity_ms: 0,
                is_holder: standby.is_holder(settings, now),
            });
        }
        if !self.buckets.contains_key(name) {
            let has_stood_by = self.standbys.remove(name).is_some();
            let gained = match has_stood_by || entry.moved_ms.is_some() {
                true => 0.0,
                false => now.since(self.settled).as_secs_f64() * entry.limit.rate_per_s,
            };
            let tokens = settings.initial_tokens(entry.limit) + gained;
            let tokens = tokens.min(entry.limit.burst.max(1.0));
            let bucket = ShareBucket::open(tokens, entry.limit, now);
            self.buckets.insert(name.to_owned(), bucket);
        }
        let bucket = self.buckets.get_mut(name)?;
        let idle_time = bucket.idle_time(now);
        let moved = entry
            .moved_ms
            .map(|millis| Duration::from_millis(millis.into()));
        // Another home held the bucket after this one was asked last.
        let was_elsewhere = moved.is_some_and(|age| age < idle_time);
        if was_elsewhere && idle_time >= settings.reset_idle_time {
            bucket.reset(settings, now);
        }
        Some(bucket.grant(settings, host, entry, now))
    }
}
