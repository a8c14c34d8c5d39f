use std::future::Future;

use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// A row as the table service returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the row.
    pub key: String,
    /// Grows by every write to the row; 0 means that there is none.
    pub version: u64,
    /// JSON text; absent when there is no row.
    pub value: Option<String>,
}

/// Holds when a row still has a version; 0 means that there is none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Name of the row.
    pub key: String,
    /// Version that the row must have.
    pub version: u64,
}

/// Puts or removes a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Name of the row.
    pub key: String,
    /// New value; absent removes the row.
    pub value: Option<String>,
}

/// Conditions, writes and reads that take effect as one.
///
/// The reads see the table after the writes, or unchanged when a condition
/// did not hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Transaction {
    /// All must hold, or nothing is written.
    pub conditions: Vec<Condition>,
    /// Written in one step.
    pub writes: Vec<Write>,
    /// Rows to return by name, also those that do not exist.
    pub reads: Vec<String>,
    /// Rows to return by the beginning of their names.
    pub prefixes: Vec<String>,
}

/// What a transaction did and read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResult {
    /// Whether the conditions held and the writes took effect.
    pub committed: bool,
    /// The rows asked for, in the order of the reads, then of the prefixes.
    pub rows: Vec<Row>,
}

impl TransactionResult {
    /// Finds a row that was read.
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.key == key)
    }
}

/// The platform's transactional table service.
pub trait TableStore {
    /// Runs one transaction.
    ///
    /// # Errors
    ///
    /// An error does not tell whether the writes took effect, unless
    /// [`PlatformError::is_unsent`] says that the request never left. A
    /// caller that must know reads the rows back.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionResult, PlatformError>> + Send;
}
