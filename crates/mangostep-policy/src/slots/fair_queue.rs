use std::collections::{BTreeMap, VecDeque};

/// Waiting requests of one cell, in one queue per workspace.
///
/// A free slot goes to the workspace with the fewest in-flight requests. This
/// is max-min fair: no workspace gains by sending more, and the slots that one
/// workspace does not use go to the others.
#[derive(Debug)]
pub(crate) struct FairQueue<W> {
    queues: BTreeMap<String, WorkspaceQueue<W>>,
    waiting: usize,
    grants: u64,
}

#[derive(Debug)]
struct WorkspaceQueue<W> {
    waiters: VecDeque<W>,
    in_flight: usize,
    last_grant: u64,
}

impl<W> WorkspaceQueue<W> {
    fn new(last_grant: u64) -> Self {
        WorkspaceQueue {
            waiters: VecDeque::new(),
            in_flight: 0,
            last_grant,
        }
    }

    fn is_idle(&self) -> bool {
        self.waiters.is_empty() && self.in_flight == 0
    }
}

impl<W> FairQueue<W> {
    pub(crate) fn new() -> Self {
        FairQueue {
            queues: BTreeMap::new(),
            waiting: 0,
            grants: 0,
        }
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Appends a request to the queue of its workspace.
    pub(crate) fn push(&mut self, workspace: &str, waiter: W) {
        let queue = match self.queues.get_mut(workspace) {
            Some(queue) => queue,
            None => {
                let queue = WorkspaceQueue::new(self.grants);
                self.queues.entry(workspace.to_owned()).or_insert(queue)
            }
        };
        queue.waiters.push_back(waiter);
        self.waiting += 1;
    }

    /// Removes the next request for which `choose` finds a server, and returns
    /// its workspace, the request and the choice.
    ///
    /// The request counts as in flight until [`FairQueue::finish`].
    pub(crate) fn pop<C>(
        &mut self,
        mut choose: impl FnMut(&W) -> Option<C>,
    ) -> Option<(String, W, C)> {
        let mut order: Vec<(usize, u64, &String)> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.waiters.is_empty())
            .map(|(name, queue)| (queue.in_flight, queue.last_grant, name))
            .collect();
        order.sort_unstable();
        let (workspace, index, choice) = order.into_iter().find_map(|(_, _, name)| {
            let mut waiting = self.queues[name].waiters.iter().enumerate();
            let (index, choice) = waiting.find_map(|(i, w)| Some((i, choose(w)?)))?;
            Some((name.clone(), index, choice))
        })?;
        let queue = self.queues.get_mut(&workspace)?;
        let waiter = queue.waiters.remove(index)?;
        self.grants += 1;
        queue.last_grant = self.grants;
        queue.in_flight += 1;
        self.waiting -= 1;
        Some((workspace, waiter, choice))
    }

    /// Records that an in-flight request of a workspace has ended.
    pub(crate) fn finish(&mut self, workspace: &str) {
        let Some(queue) = self.queues.get_mut(workspace) else {
            return;
        };
        queue.in_flight = queue.in_flight.saturating_sub(1);
        if queue.is_idle() {
            self.queues.remove(workspace);
        }
    }

    /// Removes and returns the waiting requests that match `predicate`.
    pub(crate) fn extract_if(&mut self, mut predicate: impl FnMut(&W) -> bool) -> Vec<W> {
        let mut extracted = Vec::new();
        for queue in self.queues.values_mut() {
            for _ in 0..queue.waiters.len() {
                let Some(waiter) = queue.waiters.pop_front() else {
                    break;
                };
                if predicate(&waiter) {
                    extracted.push(waiter);
                } else {
                    queue.waiters.push_back(waiter);
                }
            }
        }
        self.waiting -= extracted.len();
        self.queues.retain(|_, queue| !queue.is_idle());
        extracted
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &W> {
        self.queues.values().flat_map(|queue| queue.waiters.iter())
    }

    /// Number of waiting requests that would get a slot before a new request
    /// of `workspace`.
    pub(crate) fn ahead_of(&self, workspace: &str) -> usize {
        let own = self.queues.get(workspace);
        let own_waiting = own.map_or(0, |queue| queue.waiters.len());
        let level = own_waiting + own.map_or(0, |queue| queue.in_flight) + 1;
        let others = self.queues.iter().filter(|(name, _)| *name != workspace);
        let others_ahead: usize = others
            .map(|(_, queue)| {
                level
                    .saturating_sub(queue.in_flight)
                    .min(queue.waiters.len())
            })
            .sum();
        own_waiting + others_ahead
    }
}
