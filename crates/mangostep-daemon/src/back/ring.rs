use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use tokio::sync::mpsc;

use crate::{back::BackJob, prelude::*};

/// Pools that the back thread must not use again.
type DiscardedPools = Arc<Mutex<HashSet<SocketAddr>>>;

/// The front thread's end of the ring to the back thread.
#[derive(Clone, Debug)]
pub(crate) struct BackRing {
    sender: mpsc::Sender<BackJob>,
    discarded: DiscardedPools,
}

/// The back thread's end.
pub(crate) struct BackQueue {
    receiver: mpsc::Receiver<BackJob>,
    discarded: DiscardedPools,
}

/// The pooled connections to one backend server.
#[derive(Clone, Debug)]
pub(crate) struct PoolHandle {
    address: SocketAddr,
    discarded: DiscardedPools,
}

impl BackRing {
    /// Makes a ring that holds so many requests.
    pub(crate) fn open(capacity: usize) -> (BackRing, BackQueue) {
        let (sender, receiver) = mpsc::channel(capacity);
        let discarded = DiscardedPools::default();
        let ring = BackRing {
            sender,
            discarded: discarded.clone(),
        };
        let queue = BackQueue {
            receiver,
            discarded,
        };
        (ring, queue)
    }

    /// Passes a request on; false when the ring is full or closed.
    pub(crate) fn send(&self, job: BackJob) -> bool {
        self.sender.try_send(job).is_ok()
    }

    /// The pool of a backend server.
    pub(crate) fn pool(&self, address: SocketAddr) -> PoolHandle {
        PoolHandle {
            address,
            discarded: self.discarded.clone(),
        }
    }
}

impl PoolHandle {
    /// Keeps all pooled connections of the server from being used again.
    ///
    /// What went wrong on one may have gone wrong on all: something between
    /// the two ends may have lost track of them.
    pub(crate) fn discard(&self) {
        lock(&self.discarded).insert(self.address);
    }
}

impl BackQueue {
    /// The next request.
    pub(crate) async fn next(&mut self) -> Option<BackJob> {
        self.receiver.recv().await
    }

    /// The pools that were discarded since the last call.
    pub(crate) fn take_discarded(&self) -> HashSet<SocketAddr> {
        std::mem::take(&mut *lock(&self.discarded))
    }
}

fn lock(pools: &DiscardedPools) -> std::sync::MutexGuard<'_, HashSet<SocketAddr>> {
    pools.lock().unwrap_or_else(PoisonError::into_inner)
}
