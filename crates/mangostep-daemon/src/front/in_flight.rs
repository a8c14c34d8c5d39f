use std::sync::atomic::Ordering;

use crate::prelude::*;

/// Counts a request as in flight until its answer was read completely or
/// dropped.
///
/// Each clone adds one to the count until it is dropped.
pub(crate) struct InFlightGuard(Arc<HostContext>);

impl InFlightGuard {
    pub(crate) fn open(context: &Arc<HostContext>) -> Self {
        context.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(context.clone())
    }
}

impl Clone for InFlightGuard {
    fn clone(&self) -> Self {
        InFlightGuard::open(&self.0)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
