//! Slots of backend servers: the keeper's side and the asking side.
//!
//! # Parts
//!
//! * `asking` finds a slot for a request of this host: own availability zone
//!   first, then the others; the keeper first, then its stopgap.
//! * `keeping` answers asks out of the cells that this host keeps, and tells
//!   the host that would follow which servers are warm.
//! * `releasing` gives slots back, in batches for each keeper.
//! * `ejecting` asks the arbiter for ejections, and is the arbiter.
//! * `probing` probes the servers of the cells that this host holds.
//! * `serving` reads and writes the calls of other hosts.

mod asking;
mod cell;
mod ejecting;
mod keeping;
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
    slots::{cell::KeptCell, ejecting::FloorRecord, keeping::NewsRecord, messages::CellRelease},
};

pub(crate) use crate::slots::{
    permit::OpenPermit,
    types::{ServerOutcome, SlotGrant, SlotReport, SlotRequest},
};

/// Judges the servers of every cell.
type CellDetector = mangostep_policy::GrayDetector;

/// The peer thread's part in slots.
pub(crate) struct SlotDuty {
    context: Arc<HostContext>,
    links: Rc<PeerLinks>,
    prober: reqwest::Client,
    /// Cells that this host keeps, by resource name.
    cells: RefCell<HashMap<String, KeptCell>>,
    /// Cells that this host held, until their permits are back.
    closing: RefCell<HashMap<String, KeptCell>>,
    /// Closes of cells that are being told to their new holders.
    handing_over: Cell<usize>,
    /// Choice among the cells of each service.
    choosers: RefCell<HashMap<String, CellChooser>>,
    /// Releases that wait for each keeper's answer to the ones before.
    releases: RefCell<HashMap<SocketAddr, Vec<CellRelease>>>,
    /// Hosts that did not answer, with the time to ask them again.
    unreachable: RefCell<HashMap<SocketAddr, MonotonicTime>>,
    floors: RefCell<HashMap<String, FloorRecord>>,
    /// News of warm servers that other keepers told this host.
    heard: RefCell<HashMap<String, NewsRecord>>,
    /// News that this host told, by cell and host.
    told: RefCell<HashMap<String, NewsRecord>>,
    seen_fleet: RefCell<Arc<FleetView>>,
}

impl SlotDuty {
    pub(crate) fn new(context: Arc<HostContext>, links: Rc<PeerLinks>) -> Rc<Self> {
        Rc::new(SlotDuty {
            prober: prober(&context),
            context,
            links,
            cells: RefCell::default(),
            closing: RefCell::default(),
            handing_over: Cell::new(0),
            choosers: RefCell::default(),
            releases: RefCell::default(),
            unreachable: RefCell::default(),
            floors: RefCell::default(),
            heard: RefCell::default(),
            told: RefCell::default(),
            seen_fleet: RefCell::default(),
        })
    }
}

/// The client for probes, which must not share a pool with real work.
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
