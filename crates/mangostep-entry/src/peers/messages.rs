use std::borrow::Cow;

use {
    mangostep_policy::{HostRow, PeerReport, ServerSignal, ZoneList},
    serde::{Deserialize, Serialize},
};

use crate::platform::FleetTable;

/// The version of the datagrams; others are passed over.
pub(crate) const MESSAGE_VERSION: u8 = 3;

/// A datagram from host to host.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage<'a> {
    /// What a host tells of itself, and a watcher of the zones.
    #[serde(borrow)]
    Report(Box<HostReport<'a>>),
    /// What a host has running at a backend server, and what it saw there.
    #[serde(borrow)]
    Signal(SignalReport<'a>),
    /// Asks the home of a workspace for a token.
    #[serde(borrow)]
    Ask(TokenQuestion<'a>),
    /// Answers an ask.
    Answer {
        ask: u64,
        /// Time until a token is there, in microseconds; none when granted.
        denied_us: Option<u64>,
    },
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HostReport<'a> {
    #[serde(borrow)]
    pub(crate) host: Cow<'a, str>,
    pub(crate) report: PeerReport,
    /// The sender's row, for hosts that cannot read it from the store.
    pub(crate) row: Option<HostRow>,
    /// Lists of zones; sent when one changed, and every few turns.
    pub(crate) lists: Vec<ZoneList>,
    pub(crate) tables: Vec<TableSummary>,
}

/// How far a host has followed a table.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct TableSummary {
    pub(crate) table: FleetTable,
    pub(crate) version: u64,
    pub(crate) digest: u64,
    /// Bytes of the rows that changed last.
    pub(crate) changed_bytes: usize,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SignalReport<'a> {
    #[serde(borrow)]
    pub(crate) server: Cow<'a, str>,
    pub(crate) started_ms: u64,
    pub(crate) running: u32,
    /// What the request showed; none at its start.
    pub(crate) signal: Option<ServerSignal>,
    /// Milliseconds since the request was sent.
    pub(crate) age_ms: u32,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TokenQuestion<'a> {
    pub(crate) incarnation: u64,
    pub(crate) ask: u64,
    #[serde(borrow)]
    pub(crate) workspace: Cow<'a, str>,
    pub(crate) rate_per_s: f64,
    pub(crate) burst: f64,
    /// Whether another home answered the last ask, a short time ago.
    pub(crate) has_moved: bool,
}

/// Writes a datagram: its version, then the message.
pub(crate) fn encode(message: &PeerMessage<'_>) -> Vec<u8> {
    let bytes = vec![MESSAGE_VERSION];
    // Writing to memory fails only for types that are not used here.
    postcard::to_extend(message, bytes).unwrap_or_default()
}

/// Reads a datagram; none when it is of another version or broken.
pub(crate) fn decode(bytes: &[u8]) -> Option<PeerMessage<'_>> {
    let (version, rest) = bytes.split_first()?;
    let message = postcard::from_bytes(rest).ok()?;
    (*version == MESSAGE_VERSION).then_some(message)
}
