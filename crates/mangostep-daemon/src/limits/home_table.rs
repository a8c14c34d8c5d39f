use std::collections::HashMap;

use {
    mangostep_objects::Snapshot,
    mangostep_policy::{
        FleetLimit, HandoverState, HomeKey, LimitHome, TokenFraction, TokenGrant,
        TokenRequestEntry, shard_of,
    },
};

use crate::{
    limits::limit_name::{fleet_limit, named_limits},
    prelude::*,
};

/// How long a changed limit is told to homes that are opened after it.
const CHANGE_MEMORY: Duration = Duration::from_secs(20);

/// How long a state waits for its home to be opened here.
const STATE_MEMORY: Duration = Duration::from_secs(10);

/// Longest wait for the fractions of other homes.
pub(crate) const GATHER_LIMIT: Duration = Duration::from_millis(50);

/// The homes that this host holds, and what may become one.
#[derive(Default)]
pub(crate) struct HomeTable {
    homes: HashMap<HomeKey, OpenHome>,
    waiting: HashMap<HomeKey, WaitingState>,
    snapshot: Arc<Snapshot>,
    changes: Vec<LimitChange>,
    /// States of earlier holders that counted.
    accepted: u64,
}

struct OpenHome {
    epoch: u64,
    home: LimitHome,
    /// Names whose fractions were gathered, until when that is of no use.
    gathered: HashMap<String, MonotonicTime>,
}

/// The state of an earlier holder that came before its home was opened.
struct WaitingState {
    epoch: u64,
    state: HandoverState,
    until: MonotonicTime,
}

struct LimitChange {
    until: MonotonicTime,
    name: String,
    /// Only homes of this shard ever hold the name.
    shard: u16,
    old: Option<FleetLimit>,
    new: Option<FleetLimit>,
}

impl HomeTable {
    /// The home under an epoch, opened if need be.
    ///
    /// A home of an earlier epoch is dropped with its tokens.
    fn open(&mut self, now: MonotonicTime, key: HomeKey, epoch: u64) -> &mut OpenHome {
        let is_known = self
            .homes
            .get(&key)
            .is_some_and(|known| known.epoch == epoch);
        if !is_known {
            let opened = self.open_new(now, key, epoch);
            self.homes.insert(key, opened);
        }
        self.homes.entry(key).or_insert_with(|| OpenHome {
            epoch,
            home: LimitHome::open(key.index, now),
            gathered: HashMap::new(),
        })
    }

    fn open_new(&mut self, now: MonotonicTime, key: HomeKey, epoch: u64) -> OpenHome {
        let mut home = LimitHome::open(key.index, now);
        let waiting = self.waiting.remove(&key);
        if let Some(waiting) = waiting.filter(|waiting| waiting.epoch + 1 == epoch) {
            let snapshot = self.snapshot.clone();
            let counts =
                home.accept_handover(now, &waiting.state, |name| fleet_limit(&snapshot, name));
            self.accepted += u64::from(counts);
        }
        let changes = self.changes.iter().filter(|change| now < change.until);
        for change in changes.filter(|change| change.shard == key.shard) {
            home.change_limit(now, &change.name, change.old, change.new);
        }
        OpenHome {
            epoch,
            home,
            gathered: HashMap::new(),
        }
    }

    /// Makes sure that a held home is open, so that its buckets refill.
    pub(crate) fn hold(&mut self, now: MonotonicTime, key: HomeKey, epoch: u64) {
        self.open(now, key, epoch);
    }

    /// Takes whole tokens at a home that this host holds under an epoch.
    pub(crate) fn take(
        &mut self,
        now: MonotonicTime,
        key: HomeKey,
        epoch: u64,
        entry: &TokenRequestEntry,
    ) -> TokenGrant {
        let Some(limit) = fleet_limit(&self.snapshot, &entry.name) else {
            return TokenGrant::default();
        };
        let open = self.open(now, key, epoch);
        open.home.take(now, &entry.name, limit, entry.tokens)
    }

    /// Gives a fraction away.
    pub(crate) fn take_fraction(
        &mut self,
        now: MonotonicTime,
        key: HomeKey,
        epoch: u64,
        name: &str,
    ) -> TokenFraction {
        let Some(limit) = fleet_limit(&self.snapshot, name) else {
            return TokenFraction::default();
        };
        let open = self.open(now, key, epoch);
        open.home.take_fraction(now, name, limit)
    }

    /// Begins to gather fractions; tells the wait when that is of no use yet.
    pub(crate) fn begin_gather(
        &mut self,
        now: MonotonicTime,
        key: HomeKey,
        epoch: u64,
        name: &str,
    ) -> Result<(), Duration> {
        let open = self.open(now, key, epoch);
        if let Some(until) = open.gathered.get(name).filter(|until| now < **until) {
            return Err(until.since(now));
        }
        open.gathered.insert(name.to_owned(), now + GATHER_LIMIT);
        Ok(())
    }

    /// Takes tokens after other homes gave their fractions.
    pub(crate) fn end_gather(
        &mut self,
        now: MonotonicTime,
        key: HomeKey,
        epoch: u64,
        entry: &TokenRequestEntry,
        gathered: &GatheredFractions,
    ) -> TokenGrant {
        let Some(limit) = fleet_limit(&self.snapshot, &entry.name) else {
            return TokenGrant::default();
        };
        let open = self.open(now, key, epoch);
        let mut grant = open.home.take_with_fractions(
            now,
            &entry.name,
            limit,
            entry.tokens,
            &gathered.fractions,
            gathered.asked,
        );
        if gathered.is_complete && grant.granted < entry.tokens {
            grant.retry_after = open.home.combined_token_time(now, &entry.name, limit);
        }
        open.gathered
            .insert(entry.name.clone(), now + grant.retry_after);
        grant
    }

    /// Takes the state of an earlier holder.
    pub(crate) fn take_state(
        &mut self,
        now: MonotonicTime,
        key: HomeKey,
        epoch: u64,
        state: HandoverState,
    ) {
        let snapshot = self.snapshot.clone();
        if let Some(open) = self.homes.get_mut(&key)
            && open.epoch > epoch
        {
            if open.epoch == epoch + 1 {
                let counts = open
                    .home
                    .accept_handover(now, &state, |name| fleet_limit(&snapshot, name));
                self.accepted += u64::from(counts);
            }
            return;
        }
        let until = now + STATE_MEMORY;
        let waiting = WaitingState {
            epoch,
            state,
            until,
        };
        self.waiting.insert(key, waiting);
    }

    /// States of earlier holders that counted.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Homes that are open, with their epochs.
    pub(crate) fn epochs(&self) -> Vec<(HomeKey, u64)> {
        self.homes
            .iter()
            .map(|(key, open)| (*key, open.epoch))
            .collect()
    }

    /// Closes a home that another host holds now, and returns its state.
    pub(crate) fn close(&mut self, now: MonotonicTime, key: HomeKey) -> Option<HandoverState> {
        let mut open = self.homes.remove(&key)?;
        let snapshot = self.snapshot.clone();
        let state = open.home.seal(now, |name| fleet_limit(&snapshot, name));
        Some(state)
    }

    /// Tells the homes which limits a new snapshot changes.
    pub(crate) fn change_snapshot(&mut self, now: MonotonicTime, snapshot: Arc<Snapshot>) {
        if snapshot.version() == self.snapshot.version() {
            return;
        }
        let is_first = self.snapshot.version() == 0;
        let old = std::mem::replace(&mut self.snapshot, snapshot);
        if is_first {
            return;
        }
        let changes = limit_changes(&old, &self.snapshot, now + CHANGE_MEMORY);
        for change in &changes {
            let homes = self.homes.iter_mut();
            for (_, open) in homes.filter(|(key, _)| key.shard == change.shard) {
                open.home
                    .change_limit(now, &change.name, change.old, change.new);
            }
        }
        self.changes.extend(changes);
    }

    /// Names that have a bucket now, in all homes together.
    pub(crate) fn bucket_count(&self) -> usize {
        let homes = self.homes.values();
        homes.map(|open| open.home.bucket_count()).sum()
    }

    /// Drops what is full or has run out.
    pub(crate) fn sweep(&mut self, now: MonotonicTime) {
        self.changes.retain(|change| now < change.until);
        self.waiting.retain(|_, waiting| now < waiting.until);
        let snapshot = self.snapshot.clone();
        for open in self.homes.values_mut() {
            open.gathered.retain(|_, until| now < *until);
            open.home
                .drop_full_buckets(now, |name| fleet_limit(&snapshot, name));
        }
    }
}

/// What other homes gave of less than one token.
pub(crate) struct GatheredFractions {
    pub(crate) fractions: Vec<TokenFraction>,
    /// When they were asked.
    pub(crate) asked: MonotonicTime,
    /// Whether all of them answered.
    pub(crate) is_complete: bool,
}

/// The names whose limits differ between two snapshots.
fn limit_changes(old: &Snapshot, new: &Snapshot, until: MonotonicTime) -> Vec<LimitChange> {
    let added_or_changed = named_limits(new).filter_map(|(name, limit)| {
        let before = fleet_limit(old, name.as_str());
        let after = FleetLimit::from_limit(limit);
        (before != Some(after)).then(|| LimitChange {
            until,
            shard: shard_of(name.as_str()),
            name: name.into_string(),
            old: before,
            new: Some(after),
        })
    });
    let removed = named_limits(old).filter_map(|(name, limit)| {
        let is_gone = fleet_limit(new, name.as_str()).is_none();
        is_gone.then(|| LimitChange {
            until,
            shard: shard_of(name.as_str()),
            name: name.into_string(),
            old: Some(FleetLimit::from_limit(limit)),
            new: None,
        })
    });
    added_or_changed.chain(removed).collect()
}
