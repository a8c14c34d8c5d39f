use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A row of a store table, or the record of its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row, unique in its table.
    pub key: String,
    /// Store version at which the row was written or removed.
    pub version: u64,
    /// Value of the row; `None` after its removal.
    pub value: Option<Vec<u8>>,
}

/// Changes of a table since an earlier version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// Table version after the delta is applied.
    pub version: u64,
    /// Whether the delta is a snapshot of the whole table, so that rows
    /// missing from it are removed.
    pub is_whole: bool,
    /// Changed rows; for a snapshot, all rows.
    pub rows: Vec<TableRow>,
}

/// A host's copy of one table of the store.
///
/// The version never decreases: a delta to an older version than that of the
/// copy is ignored.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    version: u64,
    /// Version since which all removals are stored.
    complete_after: u64,
    rows: BTreeMap<String, TableRow>,
}

/// Number of removed rows that are stored for the deltas of other hosts;
/// enough for a change of several hundred servers.
const STORED_REMOVALS_MAX: usize = 1_000;

impl TableCopy {
    /// Version up to which the copy has all changes; 0 before the first delta.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Keys and values of the rows that are present.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let present = |row: &'_ TableRow| row.value.is_some();
        self.rows
            .values()
            .filter(move |row| present(row))
            .filter_map(|row| Some((row.key.as_str(), row.value.as_deref()?)))
    }

    /// Store version at which the present value of a row was written.
    pub fn row_version(&self, key: &str) -> Option<u64> {
        let row = self.rows.get(key)?;
        row.value.is_some().then_some(row.version)
    }

    /// Applies a delta and returns the rows that it changed; removed rows have
    /// no value.
    pub fn apply(&mut self, delta: TableDelta) -> Vec<TableRow> {
        self.apply_unless(delta, |_, _| false)
    }

    /// Applies a delta, except for rows that are equivalent to their present
    /// version, such as heartbeats: `is_same` compares the present value with
    /// the new one. Deltas for other hosts omit these rows as well.
    pub fn apply_unless(
        &mut self,
        delta: TableDelta,
        is_same: impl Fn(&[u8], &[u8]) -> bool,
    ) -> Vec<TableRow> {
        if delta.version < self.version {
            return Vec::new();
        }
        let mut changed = Vec::new();
        if delta.is_whole {
            let present_keys: std::collections::HashSet<&str> =
                delta.rows.iter().map(|row| row.key.as_str()).collect();
            for row in self.rows.values_mut() {
                if row.value.is_some() && !present_keys.contains(row.key.as_str()) {
                    row.value = None;
                    row.version = delta.version;
                    changed.push(row.clone());
                }
            }
            self.complete_after = self.complete_after.max(delta.version);
        }
        for row in delta.rows {
            let known = self.rows.get(&row.key);
            if known.is_some_and(|known| known.version >= row.version) {
                continue;
            }
            let known_value = known.and_then(|known| known.value.as_deref());
            if let (Some(known), Some(new)) = (known_value, row.value.as_deref())
                && known != new
                && is_same(known, new)
            {
                continue;
            }
            let differs = known.map(|known| &known.value) != Some(&row.value);
            if differs && (row.value.is_some() || known.is_some()) {
                changed.push(row.clone());
            }
            self.rows.insert(row.key.clone(), row);
        }
        self.version = delta.version;
        self.discard_removals();
        changed
    }

    /// Returns the changes since a version, or a snapshot of the whole table
    /// if removals since then are no longer stored.
    pub fn delta_after(&self, version: u64) -> TableDelta {
        let is_whole = version < self.complete_after;
        let rows = self.rows.values().filter(|row| match is_whole {
            true => row.value.is_some(),
            false => row.version > version,
        });
        TableDelta {
            version: self.version,
            is_whole,
            rows: rows.cloned().collect(),
        }
    }

    fn discard_removals(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        if removed.count() > STORED_REMOVALS_MAX {
            self.rows.retain(|_, row| row.value.is_some());
            self.complete_after = self.version;
        }
    }
}
