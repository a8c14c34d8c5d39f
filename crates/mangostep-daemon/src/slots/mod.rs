//! Slots of backend servers: the keeper's side and the asking side.

mod permit;
mod types;

pub(crate) use crate::slots::{
    permit::OpenPermit,
    types::{ServerOutcome, SlotGrant, SlotReport, SlotRequest},
};

use {mangostep_platform::DirectoryState, std::cell::Cell};

use crate::{prelude::*, refusal::Refusal};

/// The peer thread's part in slots.
///
/// It spreads requests evenly over the servers that the directory lists.
#[derive(Debug)]
pub(crate) struct SlotDuty {
    context: Arc<HostContext>,
    turn: Cell<usize>,
}

impl SlotDuty {
    pub(crate) fn new(context: Arc<HostContext>) -> Self {
        SlotDuty {
            context,
            turn: Cell::new(0),
        }
    }

    /// Finds a slot for a request that waits on this host.
    pub(crate) async fn open_permit(&self, request: SlotRequest) -> Result<SlotGrant, Refusal> {
        let servers = self.context.servers.load();
        let usable: Vec<_> = servers
            .iter()
            .filter(|entry| {
                entry.service == request.service
                    && entry.state == DirectoryState::Live
                    && !request.avoid.contains(&entry.name)
            })
            .collect();
        if usable.is_empty() {
            return Err(Refusal::not_run(503, "no-server"));
        }
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let chosen = usable[turn % usable.len()];
        Ok(SlotGrant {
            permit: turn as u64,
            service: request.service,
            zone: chosen.zone.clone(),
            server: chosen.name.clone(),
            address: chosen.address,
        })
    }

    /// Takes the report of a request that ended.
    pub(crate) fn release(&self, _report: SlotReport) {}
}
