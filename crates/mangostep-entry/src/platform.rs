use std::{error::Error, fmt, future::Future, time::Duration};

use {
    mangostep_objects::ObjectSet,
    mangostep_policy::{ServerEntry, TableDelta},
    serde::{Deserialize, Serialize},
};

/// A table of the platform's store that every host follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FleetTable {
    /// What operators write: the configuration, and zones that are out.
    Operator,
    /// What backend servers write of themselves.
    Servers,
    /// What entry hosts write of themselves.
    Hosts,
}

impl FleetTable {
    /// All tables.
    pub const ALL: [FleetTable; 3] = [FleetTable::Operator, FleetTable::Servers, FleetTable::Hosts];

    /// The table's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            FleetTable::Operator => "operator",
            FleetTable::Servers => "servers",
            FleetTable::Hosts => "hosts",
        }
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

/// A row of [`FleetTable::Operator`], decoded.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRow {
    /// The whole configuration.
    Configuration {
        /// Version; later ones are larger.
        version: u64,
        /// Its objects.
        set: Box<ObjectSet>,
    },
    /// An availability zone that takes no new work.
    ZoneOut(String),
    /// A row of another purpose.
    Other,
}

/// Who asks which hosts to use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupQuery {
    /// Availability zone of the caller; empty when unknown.
    pub zone: String,
}

/// Which hosts to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupAnswer {
    /// IP numbers and ports for callers.
    pub fronts: Vec<std::net::SocketAddr>,
    /// Time for which to keep the answer.
    pub keep: Duration,
}

/// Why the store gave no answer of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFaultKind {
    /// The changes asked for are no longer known; the table must be read
    /// whole.
    HistoryGone,
    /// The store refused the call; nothing was done.
    Refused,
    /// No answer came; a write may have been done.
    NoAnswer,
    /// The answer cannot be read.
    Malformed,
}

impl StoreFaultKind {
    /// The kind's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            StoreFaultKind::HistoryGone => "history-gone",
            StoreFaultKind::Refused => "refused",
            StoreFaultKind::NoAnswer => "no-answer",
            StoreFaultKind::Malformed => "malformed",
        }
    }
}

/// A call to the platform's store that gave no answer of use.
#[derive(Debug)]
pub struct StoreFault {
    /// What went wrong.
    pub kind: StoreFaultKind,
    step: &'static str,
    peer: String,
    source: Box<dyn Error + Send + Sync>,
}

impl StoreFault {
    /// Wraps the cause of a failed call.
    pub fn new(
        kind: StoreFaultKind,
        step: &'static str,
        peer: impl fmt::Display,
        source: impl Into<Box<dyn Error + Send + Sync>>,
    ) -> Self {
        StoreFault {
            kind,
            step,
            peer: peer.to_string(),
            source: source.into(),
        }
    }
}

impl fmt::Display for StoreFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.peer, self.source)
    }
}

impl Error for StoreFault {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&*self.source)
    }
}

/// The platform that a host runs on: its store and its formats.
///
/// An implementation translates names, formats and calls. It decides nothing.
pub trait Platform: 'static {
    /// Path at which the platform asks whether a host takes callers.
    const READY_PATH: &'static str;

    /// Reads a table as of one version.
    ///
    /// # Errors
    ///
    /// Tells why the store gave no answer of use.
    fn read_table(&self, table: FleetTable)
    -> impl Future<Output = Result<TableDelta, StoreFault>>;

    /// Waits for changes of a table after a version, at most for `wait`.
    ///
    /// # Errors
    ///
    /// Tells why the store gave no answer of use, or that the changes since
    /// the version are no longer known.
    fn watch_table(
        &self,
        table: FleetTable,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<TableDelta, StoreFault>>;

    /// Writes a row of [`FleetTable::Hosts`].
    ///
    /// # Errors
    ///
    /// Tells why the store did not confirm the write, which may have been
    /// done nevertheless.
    fn put_host(&self, name: &str, value: &[u8]) -> impl Future<Output = Result<(), StoreFault>>;

    /// Decodes a row of [`FleetTable::Operator`].
    ///
    /// # Errors
    ///
    /// Names the field that cannot be read.
    fn decode_operator_row(&self, key: &str, value: &[u8])
    -> Result<OperatorRow, EntryFormatError>;

    /// Decodes a row of [`FleetTable::Servers`].
    ///
    /// # Errors
    ///
    /// Names the field that cannot be read.
    fn decode_server_row(&self, key: &str, value: &[u8]) -> Result<ServerEntry, EntryFormatError>;

    /// Reads a caller's question which hosts to use; none when the target is
    /// another one.
    fn parse_lookup(&self, target: &str) -> Option<LookupQuery>;

    /// Writes the answer to a [`LookupQuery`], as JSON.
    fn format_lookup(&self, answer: &LookupAnswer) -> Vec<u8>;
}

/// A row that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryFormatError {
    /// The row's name.
    pub key: String,
    /// What is wrong, with the field.
    pub message: String,
}

impl fmt::Display for EntryFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row {}: {}", self.key, self.message)
    }
}

impl Error for EntryFormatError {}
