use std::{error::Error, fmt, future::Future, time::Duration};

use {
    http::{HeaderMap, StatusCode},
    mangostep_objects::FollowedSet,
    mangostep_policy::{
        RolloutOrder, RolloutState, ServerEntry, ServerStatement, TableDelta, TableRow,
    },
    serde::{Deserialize, Serialize},
};

/// A table of the platform's store that all hosts read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FleetTable {
    /// Rows of the operators: the configuration, and zones taken out of
    /// service.
    Operator,
    /// Rows that backend servers write about themselves.
    Servers,
    /// Rows that entry hosts write about themselves.
    Hosts,
}

impl FleetTable {
    /// All tables, in the order of their indices.
    pub const ALL: [FleetTable; 3] = [FleetTable::Operator, FleetTable::Servers, FleetTable::Hosts];

    /// Name of the table in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FleetTable::Operator => "operator",
            FleetTable::Servers => "servers",
            FleetTable::Hosts => "hosts",
        }
    }

    /// Whether the lead watcher of each zone verifies every few seconds that
    /// its copy is current. Changes of the list of hosts also arrive with the
    /// hosts' reports.
    pub(crate) fn is_verified_often(self) -> bool {
        self != FleetTable::Hosts
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// A decoded row of [`FleetTable::Operator`].
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRow {
    /// A complete configuration.
    Configuration {
        /// Version number, which increases with each change.
        version: u64,
        /// Objects of the configuration, without those that could not be
        /// decoded.
        followed: Box<FollowedSet>,
    },
    /// An availability zone that is out of service and gets no new requests.
    ZoneOut(String),
    /// An order to move a service to the servers of a software version.
    Rollout(RolloutOrder),
    /// A row that entry hosts do not use.
    Other,
}

/// A conditional write of a roll-out's row and of the state that the operator
/// reads, which take effect together or not at all.
#[derive(Clone, Copy, Debug)]
pub struct RolloutWrite<'a> {
    /// Service whose traffic moves.
    pub service: &'a str,
    /// Software version that the traffic moves to.
    pub target: &'a str,
    /// Version that the row must have; 0 means that it must not exist.
    pub expected: u64,
    /// New value of the row.
    pub value: &'a [u8],
    /// New state; `None` leaves it as it is.
    pub state: Option<RolloutState>,
}

/// Outcome of a [`RolloutWrite`] that the store answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutWritten {
    /// The row was written, and has this version.
    Written(u64),
    /// Nothing was written, because the row has another version. `None` if it
    /// does not exist.
    Conflict(Option<TableRow>),
}

/// A caller's query for the hosts that it should use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupQuery {
    /// Availability zone of the caller. Empty if unknown.
    pub zone: String,
}

/// The hosts that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupAnswer {
    /// Addresses of the hosts for callers, highest-ranked first.
    pub addresses: Vec<std::net::SocketAddr>,
    /// Time for which the caller may cache the answer.
    pub ttl: Duration,
}

/// What a backend server states about itself in a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DecodedStatement {
    /// The statement, without what could not be decoded.
    pub statement: ServerStatement,
    /// How long the server wants nothing from this host, if it shed the
    /// request.
    pub wait: Option<Duration>,
    /// Remaining time in cold start; `None` if the response does not state it.
    pub cold_left: Option<Duration>,
    /// Headers that could not be decoded.
    pub faults: Vec<StatementFault>,
}

/// A header with a statement of a backend server that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementFault {
    /// Name of the header.
    pub header: &'static str,
    /// Beginning of its value.
    pub value: String,
}

/// Reason why the store gave no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreErrorKind {
    /// The store no longer has the requested changes, so the whole table must
    /// be read.
    HistoryGone,
    /// The store rejected the call without any effect.
    Refused,
    /// No response arrived. A write may have taken effect.
    NoAnswer,
    /// The response could not be decoded.
    Malformed,
}

impl StoreErrorKind {
    /// Label of the kind in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            StoreErrorKind::HistoryGone => "history-gone",
            StoreErrorKind::Refused => "refused",
            StoreErrorKind::NoAnswer => "no-answer",
            StoreErrorKind::Malformed => "malformed",
        }
    }
}

/// A failed call to the platform's store.
#[derive(Debug)]
pub struct StoreError {
    /// Reason why the store gave no usable response.
    pub kind: StoreErrorKind,
    step: &'static str,
    address: String,
    source: Box<dyn Error + Send + Sync>,
}

impl StoreError {
    /// Wraps the cause of a failed call. `address` is that of the store.
    pub fn new(
        kind: StoreErrorKind,
        step: &'static str,
        address: impl fmt::Display,
        source: impl Into<Box<dyn Error + Send + Sync>>,
    ) -> Self {
        StoreError {
            kind,
            step,
            address: address.to_string(),
            source: source.into(),
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.address, self.source)
    }
}

impl Error for StoreError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&*self.source)
    }
}

/// The platform that a host runs on: its store and its data formats.
///
/// Implementations translate names, formats and calls, and make no decisions.
pub trait Platform: 'static {
    /// Path of the platform's readiness checks.
    const READY_PATH: &'static str;

    /// Reads a whole table at one version.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable response.
    fn read_table(&self, table: FleetTable)
    -> impl Future<Output = Result<TableDelta, StoreError>>;

    /// Waits up to `wait` for changes of a table after the version `after`.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable response, or no longer has the
    /// changes since that version.
    fn watch_table(
        &self,
        table: FleetTable,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<TableDelta, StoreError>>;

    /// Writes a row of [`FleetTable::Hosts`].
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm the write, which may have taken
    /// effect nevertheless.
    fn put_host(&self, name: &str, value: &[u8]) -> impl Future<Output = Result<(), StoreError>>;

    /// Reads the row of a service's roll-out; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable response.
    fn read_rollout(
        &self,
        service: &str,
    ) -> impl Future<Output = Result<Option<TableRow>, StoreError>>;

    /// Writes the row of a service's roll-out if it has the expected version.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable response. The write may have taken
    /// effect nevertheless, or still do so.
    fn write_rollout(
        &self,
        write: RolloutWrite<'_>,
    ) -> impl Future<Output = Result<RolloutWritten, StoreError>>;

    /// Decodes a row of [`FleetTable::Operator`].
    ///
    /// # Errors
    ///
    /// Returns the field that could not be decoded.
    fn decode_operator_row(&self, key: &str, value: &[u8]) -> Result<OperatorRow, RowFormatError>;

    /// Decodes a row of [`FleetTable::Servers`].
    ///
    /// # Errors
    ///
    /// Returns the field that could not be decoded.
    fn decode_server_row(&self, key: &str, value: &[u8]) -> Result<ServerEntry, RowFormatError>;

    /// Decodes what a backend server states about itself in a response.
    fn decode_statement(status: StatusCode, headers: &HeaderMap) -> DecodedStatement;

    /// Parses the request target of a look-up. Returns `None` for other
    /// targets.
    fn parse_lookup(&self, target: &str) -> Option<LookupQuery>;

    /// Encodes the answer to a [`LookupQuery`] as JSON.
    fn format_lookup(&self, answer: &LookupAnswer) -> Vec<u8>;
}

/// A row that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowFormatError {
    /// Key of the row.
    pub key: String,
    /// Description of the error, with the field.
    pub message: String,
}

impl fmt::Display for RowFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row {}: {}", self.key, self.message)
    }
}

impl Error for RowFormatError {}
