use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use tokio::sync::mpsc;

use crate::{back::BackJob, prelude::*};

/// Servers whose pools the back thread drops before the next request.
type DiscardedPools = Arc<Mutex<HashSet<SocketAddr>>>;

/// The sending end of the bounded queue from the front to the back thread.
#[derive(Clone, Debug)]
pub(crate) struct BackSender {
    sender: mpsc::Sender<BackJob>,
    discarded: DiscardedPools,
}

/// The receiving end of the queue, for the back thread.
pub(crate) struct BackReceiver {
    receiver: mpsc::Receiver<BackJob>,
    discarded: DiscardedPools,
}

/// Discards the pooled connections to one backend server.
#[derive(Clone, Debug)]
pub(crate) struct PoolHandle {
    address: SocketAddr,
    discarded: DiscardedPools,
}

impl BackSender {
    /// Creates a queue of at most `capacity` requests.
    pub(crate) fn open(capacity: usize) -> (BackSender, BackReceiver) {
        let (sender, receiver) = mpsc::channel(capacity);
        let discarded = DiscardedPools::default();
        let sender_end = BackSender {
            sender,
            discarded: discarded.clone(),
        };
        let receiver_end = BackReceiver {
            receiver,
            discarded,
        };
        (sender_end, receiver_end)
    }

    /// Enqueues a request; false when the queue is full or closed.
    pub(crate) fn send(&self, job: BackJob) -> bool {
        self.sender.try_send(job).is_ok()
    }

    /// A handle to the pool of a backend server.
    pub(crate) fn pool(&self, address: SocketAddr) -> PoolHandle {
        PoolHandle {
            address,
            discarded: self.discarded.clone(),
        }
    }
}

impl PoolHandle {
    /// Prevents all pooled connections to the server from being reused.
    ///
    /// A fault on one connection may affect all of them, since a device
    /// between the two ends may have lost its connection state.
    pub(crate) fn discard(&self) {
        lock(&self.discarded).insert(self.address);
    }
}

impl BackReceiver {
    /// Waits for the next request; `None` once all senders are dropped.
    pub(crate) async fn next(&mut self) -> Option<BackJob> {
        self.receiver.recv().await
    }

    /// Servers whose pools were discarded since the last call.
    pub(crate) fn take_discarded(&self) -> HashSet<SocketAddr> {
        std::mem::take(&mut *lock(&self.discarded))
    }
}

fn lock(pools: &DiscardedPools) -> std::sync::MutexGuard<'_, HashSet<SocketAddr>> {
    pools.lock().unwrap_or_else(PoisonError::into_inner)
}
