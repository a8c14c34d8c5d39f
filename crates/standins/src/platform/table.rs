use std::collections::BTreeMap;

use mangostep_platform::{Row, Transaction, TransactionResult};

/// The rows of the table service.
///
/// Versions come from one counter for all rows, so that a row which is
/// removed and written again never shows an old version.
#[derive(Debug, Default)]
pub(crate) struct MemoryTable {
    rows: BTreeMap<String, StoredRow>,
    last_version: u64,
}

#[derive(Debug)]
struct StoredRow {
    version: u64,
    value: String,
}

impl MemoryTable {
    /// Runs one transaction.
    pub(crate) fn transact(&mut self, transaction: &Transaction) -> TransactionResult {
        let committed = transaction
            .conditions
            .iter()
            .all(|condition| self.version(&condition.key) == condition.version);
        if committed {
            for write in &transaction.writes {
                self.write(&write.key, write.value.as_deref());
            }
        }
        TransactionResult {
            committed,
            rows: self.read(transaction),
        }
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    fn write(&mut self, key: &str, value: Option<&str>) {
        self.last_version += 1;
        match value {
            Some(value) => {
                let row = StoredRow {
                    version: self.last_version,
                    value: value.to_owned(),
                };
                self.rows.insert(key.to_owned(), row);
            }
            None => {
                self.rows.remove(key);
            }
        }
    }

    fn read(&self, transaction: &Transaction) -> Vec<Row> {
        let named = transaction.reads.iter().map(|key| Row {
            key: key.clone(),
            version: self.version(key),
            value: self.rows.get(key).map(|row| row.value.clone()),
        });
        let listed = transaction.prefixes.iter().flat_map(|prefix| {
            self.rows
                .range(prefix.clone()..)
                .take_while(move |(key, _)| key.starts_with(prefix.as_str()))
                .map(|(key, row)| Row {
                    key: key.clone(),
                    version: row.version,
                    value: Some(row.value.clone()),
                })
        });
        named.chain(listed).collect()
    }
}
