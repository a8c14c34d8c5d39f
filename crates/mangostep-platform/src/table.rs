use std::future::Future;

use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// A row as returned by the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Unique name of the row in the table.
    pub key: String,
    /// Increases with every write to the row; 0 if the row does not exist.
    pub version: u64,
    /// JSON text; absent if the row does not exist.
    pub value: Option<String>,
}

/// A condition that holds if a row has the given version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Unique name of the row in the table.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
    pub version: u64,
}

/// Creation, replacement or removal of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Unique name of the row in the table.
    pub key: String,
    /// New value as JSON text; absent to remove the row.
    pub value: Option<String>,
}

/// Conditions, writes and reads that are executed atomically.
///
/// The reads see the table after the writes, or the unchanged table if a
/// condition does not hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Transaction {
    /// Conditions that must all hold; otherwise nothing is written.
    pub conditions: Vec<Condition>,
    /// Writes that take effect together.
    pub writes: Vec<Write>,
    /// Names of rows to return, including rows that do not exist.
    pub reads: Vec<String>,
    /// Name prefixes of rows to return.
    pub prefixes: Vec<String>,
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResult {
    /// Whether the conditions held and the writes took effect.
    pub committed: bool,
    /// The requested rows, first those of `reads` and then those of `prefixes`,
    /// in the order of the transaction.
    pub rows: Vec<Row>,
}

impl TransactionResult {
    /// Finds a requested row by name.
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
    /// After an error it is unknown whether the writes took effect, unless
    /// [`PlatformError::is_unsent`] states that the request was not sent. A
    /// caller that needs to know must read the rows.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionResult, PlatformError>> + Send;
}
