use std::sync::atomic::Ordering;

use crate::prelude::*;

/// Counts a request as running until its answer was read whole or dropped.
pub(crate) struct RunningGuard(Arc<HostContext>);

impl RunningGuard {
    pub(crate) fn open(context: &Arc<HostContext>) -> Self {
        context.in_flight.fetch_add(1, Ordering::AcqRel);
        RunningGuard(context.clone())
    }
}

impl Clone for RunningGuard {
    fn clone(&self) -> Self {
        RunningGuard::open(&self.0)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
