use std::collections::{BTreeMap, VecDeque};

/// Waiting requests of one cell, in a line for each workspace.
///
/// A free slot goes to the workspace with the fewest running requests, which
/// is max-min fair: no workspace can gain by sending more, and what one does
/// not use goes to the others.
#[derive(Debug)]
pub(crate) struct FairQueue<W> {
    lines: BTreeMap<String, WorkspaceLine<W>>,
    waiting: usize,
    grants: u64,
}

#[derive(Debug)]
struct WorkspaceLine<W> {
    waiting: VecDeque<W>,
    running: usize,
    last_grant: u64,
}

impl<W> WorkspaceLine<W> {
    fn new(last_grant: u64) -> Self {
        WorkspaceLine {
            waiting: VecDeque::new(),
            running: 0,
            last_grant,
        }
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }
}

impl<W> FairQueue<W> {
    pub(crate) fn new() -> Self {
        FairQueue {
            lines: BTreeMap::new(),
            waiting: 0,
            grants: 0,
        }
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Adds a request to the end of its workspace's line.
    pub(crate) fn push(&mut self, workspace: &str, waiter: W) {
        let line = match self.lines.get_mut(workspace) {
            Some(line) => line,
            None => {
                let line = WorkspaceLine::new(self.grants);
                self.lines.entry(workspace.to_owned()).or_insert(line)
            }
        };
        line.waiting.push_back(waiter);
        self.waiting += 1;
    }

    /// Takes the next request that `choose` has a place for, with the place.
    ///
    /// It counts as running until [`FairQueue::finish`].
    pub(crate) fn pop<P>(
        &mut self,
        mut choose: impl FnMut(&W) -> Option<P>,
    ) -> Option<(String, W, P)> {
        let mut order: Vec<(usize, u64, &String)> = self
            .lines
            .iter()
            .filter(|(_, line)| !line.waiting.is_empty())
            .map(|(name, line)| (line.running, line.last_grant, name))
            .collect();
        order.sort_unstable();
        let (workspace, index, place) = order.into_iter().find_map(|(_, _, name)| {
            let mut waiting = self.lines[name].waiting.iter().enumerate();
            let (index, place) = waiting.find_map(|(i, w)| Some((i, choose(w)?)))?;
            Some((name.clone(), index, place))
        })?;
        let line = self.lines.get_mut(&workspace)?;
        let waiter = line.waiting.remove(index)?;
        self.grants += 1;
        line.last_grant = self.grants;
        line.running += 1;
        self.waiting -= 1;
        Some((workspace, waiter, place))
    }

    /// Takes note that a request of a workspace no longer runs.
    pub(crate) fn finish(&mut self, workspace: &str) {
        let Some(line) = self.lines.get_mut(workspace) else {
            return;
        };
        line.running = line.running.saturating_sub(1);
        if line.is_idle() {
            self.lines.remove(workspace);
        }
    }

    /// Takes out all waiting requests for which `is_over` holds.
    pub(crate) fn take_if(&mut self, mut is_over: impl FnMut(&W) -> bool) -> Vec<W> {
        let mut taken = Vec::new();
        for line in self.lines.values_mut() {
            for _ in 0..line.waiting.len() {
                let Some(waiter) = line.waiting.pop_front() else {
                    break;
                };
                if is_over(&waiter) {
                    taken.push(waiter);
                } else {
                    line.waiting.push_back(waiter);
                }
            }
        }
        self.waiting -= taken.len();
        self.lines.retain(|_, line| !line.is_idle());
        taken
    }

    /// The waiting requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &W> {
        self.lines.values().flat_map(|line| line.waiting.iter())
    }

    /// How many waiting requests would be served before a new one of a
    /// workspace.
    pub(crate) fn ahead_of(&self, workspace: &str) -> usize {
        let own = self.lines.get(workspace);
        let own_waiting = own.map_or(0, |line| line.waiting.len());
        let level = own_waiting + own.map_or(0, |line| line.running) + 1;
        let others = self.lines.iter().filter(|(name, _)| *name != workspace);
        let ahead_of_others: usize = others
            .map(|(_, line)| level.saturating_sub(line.running).min(line.waiting.len()))
            .sum();
        own_waiting + ahead_of_others
    }
}
