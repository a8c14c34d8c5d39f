//! Slots of backend servers: acquiring them and, as a slot keeper, granting
//! them.
//!
//! # Parts
//!
//! * `acquiring` finds a slot for a request of this host. It prefers the
//!   host's own availability zone to the others, and the slot keeper of a cell
//!   to the cell's stopgap host.
//! * `local_cells` grants slots of the cells whose slot keeper runs on this
//!   host, and reports their warm servers to the host that would succeed it.
//! * `releasing` returns slots to their keepers in batches.
//! * `ejecting` requests ejections from the arbiter of a service, and decides
//!   them where this host is the arbiter.
//! * `probing` probes the servers of the cells that this host holds.
//! * `serving` decodes calls from other hosts and encodes the answers.

mod acquiring;
mod cell;
mod ejecting;
mod local_cells;
mod messages;
mod permit;
mod probing;
mod releasing;
mod serving;
mod types;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};

use mangostep_policy::CellChooser;

use crate::{
    context::FleetView,
    peer::PeerLinks,
    prelude::*,
    slots::{
        cell::LocalCell, ejecting::ArbiterRecord, local_cells::UpdateRecord, messages::CellRelease,
    },
};

pub(crate) use crate::slots::{
    permit::OpenPermit,
    types::{ServerOutcome, SlotGrant, SlotReport, SlotRequest},
};

/// The failure detector that every slot keeper uses.
type CellDetector = mangostep_policy::GrayDetector;

/// Acquires and grants slots on the peer thread.
pub(crate) struct SlotDuty {
    context: Arc<HostContext>,
    links: Rc<PeerLinks>,
    prober: reqwest::Client,
    /// Cells whose slot keeper runs on this host, by resource name.
    cells: RefCell<HashMap<String, LocalCell>>,
    /// Cells that this host no longer holds, until all their permits have been
    /// returned, by resource name.
    retired: RefCell<HashMap<String, LocalCell>>,
    /// Number of close updates in flight to the new holders of cells.
    close_updates_in_flight: Cell<usize>,
    /// Chooses among the cells of a service, by service name.
    choosers: RefCell<HashMap<String, CellChooser>>,
    /// Releases queued for each keeper while an earlier batch is in flight.
    releases: RefCell<HashMap<SocketAddr, Vec<CellRelease>>>,
    /// Hosts that did not answer, with the earliest time of the next attempt.
    unreachable: RefCell<HashMap<SocketAddr, MonotonicTime>>,
    /// Arbiters that run on this host, by service name.
    arbiters: RefCell<HashMap<String, ArbiterRecord>>,
    /// Last update received from the slot keeper of each cell, by resource
    /// name.
    received_updates: RefCell<HashMap<String, UpdateRecord>>,
    /// Last update sent, by resource name and receiving host.
    sent_updates: RefCell<HashMap<String, UpdateRecord>>,
    /// The fleet view that was last searched for newly held cells.
    seen_fleet: RefCell<Arc<FleetView>>,
}

impl SlotDuty {
    pub(crate) fn new(context: Arc<HostContext>, links: Rc<PeerLinks>) -> Rc<Self> {
        Rc::new(SlotDuty {
            prober: prober(&context),
            context,
            links,
            cells: RefCell::default(),
            retired: RefCell::default(),
            close_updates_in_flight: Cell::new(0),
            choosers: RefCell::default(),
            releases: RefCell::default(),
            unreachable: RefCell::default(),
            arbiters: RefCell::default(),
            received_updates: RefCell::default(),
            sent_updates: RefCell::default(),
            seen_fleet: RefCell::default(),
        })
    }
}

/// Builds the HTTP client for probes, which must not share a connection pool
/// with callers' requests.
fn prober(context: &HostContext) -> reqwest::Client {
    let builder = reqwest::Client::builder()
        .no_proxy()
        .http1_only()
        .local_address(context.settings.outgoing)
        .pool_max_idle_per_host(1);
    builder.build().unwrap_or_else(|err| {
        slog::warn!(context.log, "plain client for probes"; "cause" => err.to_string());
        reqwest::Client::new()
    })
}
