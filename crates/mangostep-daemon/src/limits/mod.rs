//! Workspace limits: the home's side and the asking side.

use crate::{prelude::*, refusal::Refusal};

/// The peer thread's part in workspace limits.
#[derive(Debug)]
pub(crate) struct LimitDuty {
    context: Arc<HostContext>,
}

impl LimitDuty {
    pub(crate) fn new(context: Arc<HostContext>) -> Self {
        LimitDuty { context }
    }

    /// Takes one token for a request that waits on this host.
    pub(crate) async fn admit(
        &self,
        workspace: &str,
        _deadline: MonotonicTime,
    ) -> Result<(), Refusal> {
        match self.context.snapshot.load().limit_of(workspace) {
            Some(_) => Ok(()),
            None => Err(Refusal::not_run(403, "no-limit")),
        }
    }
}
