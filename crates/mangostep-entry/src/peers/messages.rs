use std::borrow::Cow;

use {
    mangostep_policy::{
        CheckReport, HostRow, LoadReport, PeerReport, RolloutReport, ServerSignal, ShareEntry,
        ShareGrant, StatementReport, StoreVersion, ZoneList, ZoneLoad, ZonePresence,
    },
    serde::{Deserialize, Serialize},
};

use crate::platform::FleetTable;

/// Version of the datagram format. Datagrams of other versions are dropped.
pub(crate) const MESSAGE_VERSION: u8 = 9;

/// A datagram from one host to another. The order of variants and fields is
/// part of the format.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage<'a> {
    /// Heartbeat of a host. Watchers add the zone lists that they know.
    #[serde(borrow)]
    Report(Box<HostReport<'a>>),
    /// Number of requests that a host has in flight at a backend server, and
    /// the outcome of one of them.
    #[serde(borrow)]
    Signal(SignalReport<'a>),
    /// Request for a token to the limit home of a bucket.
    #[serde(borrow)]
    TokenRequest(TokenRequest<'a>),
    /// Response to a token request.
    #[serde(borrow)]
    TokenResponse(TokenResponse<'a>),
    /// A changed statement of a backend server about itself.
    Statement(StatementReport),
    /// Whether a backend server is in cold start, by its answer to a check.
    Check(CheckReport),
    /// What a host asks of a limit home about the shares of limits.
    #[serde(borrow)]
    ShareRequest(ShareRequest<'a>),
    /// Response to a [`PeerMessage::ShareRequest`].
    ShareResponse {
        request_id: u64,
        /// One for each entry of the request, in order.
        grants: Vec<ShareGrant>,
    },
    /// Counts of the hosts of each zone, for a limit home in another zone.
    #[serde(borrow)]
    Presence(PresenceReport<'a>),
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HostReport<'a> {
    #[serde(borrow)]
    pub(crate) host: Cow<'a, str>,
    pub(crate) report: PeerReport,
    /// The sender's row, for hosts that cannot read it from the store.
    pub(crate) row: Option<HostRow>,
    /// Zone lists. Sent when one of them changed, and every few rounds.
    pub(crate) lists: Vec<ZoneList>,
    /// Counts of the hosts of each zone. Sent by watchers.
    pub(crate) presences: Vec<ZonePresence>,
    pub(crate) tables: Vec<TableSummary>,
    /// Statements of backend servers. Sent when they changed, and every few
    /// rounds.
    pub(crate) statements: Vec<StatementReport>,
    /// Roll-outs of services, empty unless an order of the operator stands.
    pub(crate) rollouts: Vec<RolloutReport>,
    /// Demand on the sender, by service.
    pub(crate) loads: Vec<LoadReport>,
    /// Demand of each zone that is known. Sent by the watcher that computes
    /// its zone's list.
    pub(crate) zone_loads: Vec<ZoneLoad>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PresenceReport<'a> {
    /// Availability zone of the sender.
    #[serde(borrow)]
    pub(crate) zone: Cow<'a, str>,
    pub(crate) presences: Vec<ZonePresence>,
}

/// Version of a host's copy of a table.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct TableSummary {
    pub(crate) table: FleetTable,
    pub(crate) version: StoreVersion,
    pub(crate) digest: u64,
    /// Size of the rows in the most recent change, in bytes.
    pub(crate) changed_bytes: usize,
    /// Time since the sender's copy was known to be current, in milliseconds.
    /// `None` if it never was.
    pub(crate) age_ms: Option<u32>,
    /// Lowest version number of the copy's era that the sender knows of.
    pub(crate) era_start: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SignalReport<'a> {
    #[serde(borrow)]
    pub(crate) server: Cow<'a, str>,
    pub(crate) started_ms: u64,
    pub(crate) in_flight: u32,
    /// Outcome of the request. `None` at its start.
    pub(crate) signal: Option<ServerSignal>,
    /// Time since the request was sent, in milliseconds.
    pub(crate) age_ms: u32,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TokenRequest<'a> {
    pub(crate) incarnation: u64,
    pub(crate) request_id: u64,
    #[serde(borrow)]
    pub(crate) bucket: Cow<'a, str>,
    pub(crate) rate_per_s: f64,
    pub(crate) burst: f64,
    /// Whether another limit home responded recently to the sender's previous
    /// request for the bucket.
    pub(crate) has_moved: bool,
    /// Number of tokens of the bucket that the sender got from other homes.
    pub(crate) granted_elsewhere: u64,
    /// Availability zone of the sender.
    #[serde(borrow)]
    pub(crate) zone: Cow<'a, str>,
    /// Homes of the bucket that rank higher and that the sender does not reach.
    #[serde(borrow)]
    pub(crate) skipped: Vec<&'a str>,
    /// Whether another home sent the sender to this one.
    pub(crate) is_redirected: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TokenResponse<'a> {
    pub(crate) request_id: u64,
    #[serde(borrow)]
    pub(crate) outcome: TokenOutcome<'a>,
}

/// What a limit home responds to a token request.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum TokenOutcome<'a> {
    /// The token is granted.
    Granted,
    /// A token is available after this time, in microseconds.
    Denied(u64),
    /// The host of this name is the limit home.
    Moved(#[serde(borrow)] Cow<'a, str>),
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ShareRequest<'a> {
    pub(crate) incarnation: u64,
    pub(crate) request_id: u64,
    #[serde(borrow)]
    pub(crate) entries: Vec<ShareEntry<'a>>,
}

/// Positions of [`PeerMessage::ShareRequest`] and
/// [`PeerMessage::ShareResponse`] among the variants.
const SHARE_VARIANTS: [u8; 2] = [6, 7];

/// Whether a datagram is about the shares of limits.
pub(crate) fn is_share_message(bytes: &[u8]) -> bool {
    let variant = bytes.get(1);
    variant.is_some_and(|variant| SHARE_VARIANTS.contains(variant))
}

/// Encodes a datagram: the version, then the message.
pub(crate) fn encode(message: &PeerMessage<'_>) -> Vec<u8> {
    let bytes = vec![MESSAGE_VERSION];
    // Writing to memory fails only for types that the messages do not contain.
    postcard::to_extend(message, bytes).unwrap_or_default()
}

/// Decodes a datagram. Returns `None` if it has another version or is
/// malformed.
pub(crate) fn decode(bytes: &[u8]) -> Option<PeerMessage<'_>> {
    let (version, rest) = bytes.split_first()?;
    let message = postcard::from_bytes(rest).ok()?;
    (*version == MESSAGE_VERSION).then_some(message)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Hosts pick the datagrams about shares by the position of the variant.
    #[test]
    fn share_messages_are_recognized() {
        let request = PeerMessage::ShareRequest(ShareRequest {
            incarnation: 1,
            request_id: 2,
            entries: Vec::new(),
        });
        let response = PeerMessage::ShareResponse {
            request_id: 2,
            grants: Vec::new(),
        };
        let other = PeerMessage::TokenResponse(TokenResponse {
            request_id: 2,
            outcome: TokenOutcome::Granted,
        });
        assert!(is_share_message(&encode(&request)));
        assert!(is_share_message(&encode(&response)));
        assert!(!is_share_message(&encode(&other)));
    }
}
