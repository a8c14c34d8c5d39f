use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::dispatch::StoreVersion;

/// A row of a store table, or the record of its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row, unique in its table.
    pub key: String,
    /// Number of the store version at which the row was written or removed, in
    /// the era of the copy or delta that holds the row.
    pub version: u64,
    /// Value of the row; `None` after its removal.
    pub value: Option<Vec<u8>>,
}

/// Changes of a table since an earlier version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// Table version after the delta is applied.
    pub version: StoreVersion,
    /// Lowest version number of that era that the sender knows of; 0 if it
    /// knows none but that of the delta. Rows with a larger one were written
    /// in the era.
    pub era_start: u64,
    /// Whether the delta is a snapshot of the whole table, so that rows
    /// missing from it are removed.
    pub is_whole: bool,
    /// Changed rows; for a snapshot, all rows.
    pub rows: Vec<TableRow>,
}

impl TableDelta {
    fn known_start(&self) -> u64 {
        match self.era_start {
            0 => self.version.number,
            start => start.min(self.version.number),
        }
    }
}

/// A host's copy of one table of the store.
///
/// The version never decreases: a delta to an older version than that of the
/// copy is ignored. When the store has lost writes, a snapshot of the new era
/// replaces the copy. The rows of the lost time that it contradicts become
/// outdated rows, which are not reported as changes: their writers write them
/// again.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    version: StoreVersion,
    /// Lowest known version number of the copy's era.
    era_start: u64,
    /// Version since which all removals are stored.
    complete_after: StoreVersion,
    /// All rows of the copy's era, with the latest removed ones.
    rows: BTreeMap<String, TableRow>,
    /// Keys of the rows of which the store has lost a later write or removal,
    /// with the version number of that write. They were not written since.
    outdated: BTreeMap<String, u64>,
}

/// Number of removed rows that are stored for the deltas of other hosts;
/// enough for a change of several hundred servers.
const STORED_REMOVALS_MAX: usize = 1_000;

impl TableCopy {
    /// Version up to which the copy has all changes; 0 before the first delta.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Lowest version number of the copy's era that this host knows of.
    pub fn era_start(&self) -> u64 {
        self.era_start
    }

    /// Whether the store has lost a later write or removal of a row, and the
    /// row was not written since.
    pub fn is_outdated(&self, key: &str) -> bool {
        self.outdated.contains_key(key)
    }

    /// The rows of which the store has lost a later write.
    pub fn outdated_rows(&self) -> Vec<TableRow> {
        let rows = self.outdated.keys().filter_map(|key| self.rows.get(key));
        rows.cloned().collect()
    }

    /// Number of rows of which the store has lost a later write.
    pub fn outdated_count(&self) -> usize {
        self.outdated.len()
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
        if delta.version.era > self.version.era {
            // A later era contradicts the copy in ways that only a snapshot
            // shows.
            return match delta.is_whole {
                true => self.enter_era(delta, is_same),
                false => Vec::new(),
            };
        }
        let mut changed =
            self.record_era_start(StoreVersion::new(delta.version.era, delta.known_start()));
        if delta.is_whole {
            let present_keys: std::collections::HashSet<&str> =
                delta.rows.iter().map(|row| row.key.as_str()).collect();
            for row in self.rows.values_mut() {
                if row.value.is_some() && !present_keys.contains(row.key.as_str()) {
                    row.value = None;
                    row.version = delta.version.number;
                    self.outdated.remove(&row.key);
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
            let was_outdated = self.outdated.remove(&row.key).is_some();
            let known_value = known.and_then(|known| known.value.as_deref());
            if let (Some(known), Some(new)) = (known_value, row.value.as_deref())
                && !was_outdated
                && known != new
                && is_same(known, new)
            {
                continue;
            }
            let differs = known.map(|known| &known.value) != Some(&row.value);
            if was_outdated || differs && (row.value.is_some() || known.is_some()) {
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
    pub fn delta_after(&self, version: StoreVersion) -> TableDelta {
        let is_whole = version < self.complete_after;
        let rows = self.rows.values().filter(|row| match is_whole {
            true => row.value.is_some(),
            false => row.version > version.number,
        });
        TableDelta {
            version: self.version,
            era_start: self.era_start,
            is_whole,
            rows: rows.cloned().collect(),
        }
    }

    /// Replaces the copy by a snapshot of a later era, and returns the rows that
    /// changed, without the outdated ones.
    fn enter_era(
        &mut self,
        delta: TableDelta,
        is_same: impl Fn(&[u8], &[u8]) -> bool,
    ) -> Vec<TableRow> {
        let mut earlier = std::mem::take(&mut self.rows);
        let earlier_outdated = std::mem::take(&mut self.outdated);
        self.version = delta.version;
        self.complete_after = delta.version;
        self.era_start = delta.known_start();
        let mut changed = Vec::new();
        for row in delta.rows {
            let known = earlier.remove(&row.key);
            let lost_version = earlier_outdated.get(&row.key).copied();
            let is_equal = known
                .as_ref()
                .is_some_and(|known| match (&known.value, &row.value) {
                    (Some(known), Some(new)) => known == new || is_same(known, new),
                    (known, new) => known == new,
                });
            let known_version = known
                .map_or(0, |known| known.version)
                .max(lost_version.unwrap_or(0));
            let was_lost = !is_equal || lost_version.is_some();
            if was_lost && row.version < known_version && row.version <= self.era_start {
                self.outdated.insert(row.key.clone(), known_version);
            } else if was_lost {
                changed.push(row.clone());
            }
            self.rows.insert(row.key.clone(), row);
        }
        for (key, row) in earlier.into_iter().filter(|(_, row)| row.value.is_some()) {
            let removed = TableRow {
                value: None,
                version: delta.version.number,
                ..row
            };
            changed.push(removed.clone());
            self.rows.insert(key, removed);
        }
        changed
    }

    /// Takes over a lower start of the copy's era. Returns the outdated rows
    /// that thereby turn out to be written in the era.
    pub fn record_era_start(&mut self, start: StoreVersion) -> Vec<TableRow> {
        let is_first = self.version == StoreVersion::default();
        let is_lower = start.number < self.era_start || is_first;
        if start.era != self.version.era || !is_lower {
            return Vec::new();
        }
        self.era_start = start.number;
        let rows = &self.rows;
        let is_written = |key: &str| rows.get(key).is_some_and(|row| row.version > start.number);
        let written = self.outdated.extract_if(.., |key, _| is_written(key));
        written
            .filter_map(|(key, _)| rows.get(&key).cloned())
            .collect()
    }

    fn discard_removals(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        if removed.count() > STORED_REMOVALS_MAX {
            self.rows.retain(|_, row| row.value.is_some());
            self.complete_after = self.version;
        }
    }
}
