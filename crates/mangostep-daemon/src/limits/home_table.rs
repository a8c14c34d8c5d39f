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

/// Time for which a changed limit is applied to homes opened after the change.
const LIMIT_CHANGE_RETENTION: Duration = Duration::from_secs(20);

/// Time for which a received state is stored until its home is opened here.
const HANDOVER_RETENTION: Duration = Duration::from_secs(10);

/// Longest wait for the fractions of other homes.
pub(crate) const GATHER_TIMEOUT: Duration = Duration::from_millis(50);

/// Limit homes open on this host, and the states received for further ones.
#[derive(Default)]
pub(crate) struct HomeTable {
    homes: HashMap<HomeKey, OpenHome>,
    pending_handovers: HashMap<HomeKey, PendingHandover>,
    snapshot: Arc<Snapshot>,
    changes: Vec<LimitChange>,
    /// Number of states of previous holders that were applied.
    accepted_handovers: u64,
}

struct OpenHome {
    epoch: u64,
    home: LimitHome,
    /// Time before which no fractions are gathered again, by name.
    gather_not_before: HashMap<String, MonotonicTime>,
}

/// State of a previous holder that arrived before the home was opened here.
struct PendingHandover {
    epoch: u64,
    state: HandoverState,
    expires_at: MonotonicTime,
}

struct LimitChange {
    expires_at: MonotonicTime,
    name: String,
    /// Shard of the name; only its homes hold a bucket of the name.
    shard: u16,
    old: Option<FleetLimit>,
    new: Option<FleetLimit>,
}

impl HomeTable {
    /// Returns the home of an epoch, opened if it is not open yet.
    ///
    /// A home of another epoch is dropped with its tokens.
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
            gather_not_before: HashMap::new(),
        })
    }

    fn open_new(&mut self, now: MonotonicTime, key: HomeKey, epoch: u64) -> OpenHome {
        let mut home = LimitHome::open(key.index, now);
        let pending = self.pending_handovers.remove(&key);
        if let Some(pending) = pending.filter(|pending| pending.epoch + 1 == epoch) {
            let snapshot = self.snapshot.clone();
            let is_applied =
                home.accept_handover(now, &pending.state, |name| fleet_limit(&snapshot, name));
            self.accepted_handovers += u64::from(is_applied);
        }
        let changes = self.changes.iter().filter(|change| now < change.expires_at);
        for change in changes.filter(|change| change.shard == key.shard) {
            home.change_limit(now, &change.name, change.old, change.new);
        }
        OpenHome {
            epoch,
            home,
            gather_not_before: HashMap::new(),
        }
    }

    /// Opens a held home if it is not open yet, so that its buckets refill.
    pub(crate) fn ensure_open(&mut self, now: MonotonicTime, key: HomeKey, epoch: u64) {
        self.open(now, key, epoch);
    }

    /// Takes whole tokens at a home that this host holds in the given epoch.
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

    /// Takes the remaining fraction of a token, for another home of the name.
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

    /// Begins to gather the fractions of a name.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if fractions are being gathered already, or
    /// were gathered and do not yet add up to a whole token.
    pub(crate) fn begin_gather(
        &mut self,
        now: MonotonicTime,
        key: HomeKey,
        epoch: u64,
        name: &str,
    ) -> Result<(), Duration> {
        let open = self.open(now, key, epoch);
        if let Some(not_before) = open
            .gather_not_before
            .get(name)
            .filter(|not_before| now < **not_before)
        {
            return Err(not_before.since(now));
        }
        open.gather_not_before
            .insert(name.to_owned(), now + GATHER_TIMEOUT);
        Ok(())
    }

    /// Takes tokens after adding the fractions received from other homes.
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
            gathered.requested_at,
        );
        if gathered.is_complete && grant.granted < entry.tokens {
            grant.retry_after = open.home.combined_token_time(now, &entry.name, limit);
        }
        open.gather_not_before
            .insert(entry.name.clone(), now + grant.retry_after);
        grant
    }

    /// Applies the state of a previous holder, or stores it until the home is
    /// opened.
    ///
    /// `epoch` is the epoch of the previous holder.
    pub(crate) fn accept_handover(
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
                let is_applied = open
                    .home
                    .accept_handover(now, &state, |name| fleet_limit(&snapshot, name));
                self.accepted_handovers += u64::from(is_applied);
            }
            return;
        }
        let expires_at = now + HANDOVER_RETENTION;
        let pending = PendingHandover {
            epoch,
            state,
            expires_at,
        };
        self.pending_handovers.insert(key, pending);
    }

    /// Number of states of previous holders that were applied.
    pub(crate) fn accepted_handovers(&self) -> u64 {
        self.accepted_handovers
    }

    /// Returns the open homes with their epochs.
    pub(crate) fn open_epochs(&self) -> Vec<(HomeKey, u64)> {
        self.homes
            .iter()
            .map(|(key, open)| (*key, open.epoch))
            .collect()
    }

    /// Closes a home that another host holds now; returns its state for the
    /// next holder.
    pub(crate) fn close(&mut self, now: MonotonicTime, key: HomeKey) -> Option<HandoverState> {
        let mut open = self.homes.remove(&key)?;
        let snapshot = self.snapshot.clone();
        let state = open.home.seal(now, |name| fleet_limit(&snapshot, name));
        Some(state)
    }

    /// Applies a new snapshot: passes its changed limits to the open homes.
    pub(crate) fn change_snapshot(&mut self, now: MonotonicTime, snapshot: Arc<Snapshot>) {
        if snapshot.version() == self.snapshot.version() {
            return;
        }
        let is_first = self.snapshot.version() == 0;
        let old = std::mem::replace(&mut self.snapshot, snapshot);
        if is_first {
            return;
        }
        let changes = limit_changes(&old, &self.snapshot, now + LIMIT_CHANGE_RETENTION);
        for change in &changes {
            let homes = self.homes.iter_mut();
            for (_, open) in homes.filter(|(key, _)| key.shard == change.shard) {
                open.home
                    .change_limit(now, &change.name, change.old, change.new);
            }
        }
        self.changes.extend(changes);
    }

    /// Number of buckets in memory, over all open homes.
    pub(crate) fn bucket_count(&self) -> usize {
        let homes = self.homes.values();
        homes.map(|open| open.home.bucket_count()).sum()
    }

    /// Drops full buckets, and limit changes and states past their retention.
    pub(crate) fn sweep(&mut self, now: MonotonicTime) {
        self.changes.retain(|change| now < change.expires_at);
        self.pending_handovers
            .retain(|_, pending| now < pending.expires_at);
        let snapshot = self.snapshot.clone();
        for open in self.homes.values_mut() {
            open.gather_not_before
                .retain(|_, not_before| now < *not_before);
            open.home
                .drop_full_buckets(now, |name| fleet_limit(&snapshot, name));
        }
    }
}

/// Fractions of a token received from the other homes of a name.
pub(crate) struct GatheredFractions {
    pub(crate) fractions: Vec<TokenFraction>,
    /// When the fractions were requested.
    pub(crate) requested_at: MonotonicTime,
    /// Whether all other homes answered.
    pub(crate) is_complete: bool,
}

/// Returns the limits that differ between two snapshots.
fn limit_changes(old: &Snapshot, new: &Snapshot, expires_at: MonotonicTime) -> Vec<LimitChange> {
    let added_or_changed = named_limits(new).filter_map(|(name, limit)| {
        let previous = fleet_limit(old, name.as_str());
        let current = FleetLimit::from_limit(limit);
        (previous != Some(current)).then(|| LimitChange {
            expires_at,
            shard: shard_of(name.as_str()),
            name: name.into_string(),
            old: previous,
            new: Some(current),
        })
    });
    let removed = named_limits(old).filter_map(|(name, limit)| {
        let is_gone = fleet_limit(new, name.as_str()).is_none();
        is_gone.then(|| LimitChange {
            expires_at,
            shard: shard_of(name.as_str()),
            name: name.into_string(),
            old: Some(FleetLimit::from_limit(limit)),
            new: None,
        })
    });
    added_or_changed.chain(removed).collect()
}
