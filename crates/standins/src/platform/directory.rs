use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use mangostep_platform::{DirectoryEntry, DirectoryState};

use crate::platform::DirectoryChange;

/// The host directory, whose changes become visible after a lag.
#[derive(Debug, Default)]
pub(crate) struct LaggingDirectory {
    entries: BTreeMap<(String, String), DirectoryEntry>,
    waiting: VecDeque<(Instant, DirectoryChange)>,
    lag: Duration,
}

impl LaggingDirectory {
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(crate) fn change(&mut self, change: DirectoryChange) {
        self.waiting.push_back((Instant::now() + self.lag, change));
    }

    /// Returns the currently visible entries of a service.
    pub(crate) fn list(&mut self, service: &str) -> Vec<DirectoryEntry> {
        let now = Instant::now();
        while let Some((_, change)) = self.waiting.pop_front_if(|(due, _)| *due <= now) {
            self.apply(change);
        }
        self.entries
            .values()
            .filter(|entry| entry.service == service)
            .cloned()
            .collect()
    }

    fn apply(&mut self, change: DirectoryChange) {
        match change {
            DirectoryChange::Put(entry) => {
                let key = (entry.service.clone(), entry.name.clone());
                self.entries.insert(key, entry);
            }
            DirectoryChange::Remove { service, name } => {
                self.entries.remove(&(service, name));
            }
            DirectoryChange::MarkLeaving { service, name } => {
                if let Some(entry) = self.entries.get_mut(&(service, name)) {
                    entry.state = DirectoryState::Leaving;
                }
            }
        }
    }
}
