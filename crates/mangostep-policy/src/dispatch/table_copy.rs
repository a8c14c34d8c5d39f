use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A row as the store gave it, or the fact that it was removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Name of the row.
    pub key: String,
    /// Version of the store at which it was written or removed.
    pub version: u64,
    /// Its bytes; absent once it is removed.
    pub value: Option<Vec<u8>>,
}

/// What changed in a table after some version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// Version up to which the delta leads.
    pub version: u64,
    /// Whether rows that are not named are gone.
    pub is_whole: bool,
    /// Changed rows.
    pub rows: Vec<TableRow>,
}

/// A host's copy of one table of the store.
///
/// The copy never goes back: a delta that leads to an older version than the
/// copy's own changes nothing.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    version: u64,
    /// Version after which removals are remembered.
    complete_after: u64,
    rows: BTreeMap<String, TableRow>,
}

/// Removed rows that are remembered for the deltas of other hosts. A change
/// of several hundred servers fits.
const REMEMBERED_REMOVALS: usize = 1_000;

impl TableCopy {
    /// The version up to which the copy has all changes; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The rows that are there.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let present = |row: &'_ TableRow| row.value.is_some();
        self.rows
            .values()
            .filter(move |row| present(row))
            .filter_map(|row| Some((row.key.as_str(), row.value.as_deref()?)))
    }

    /// Applies a delta and returns the rows that changed by it, removed ones
    /// without a value.
    pub fn apply(&mut self, delta: TableDelta) -> Vec<TableRow> {
        self.apply_unless(delta, |_, _| false)
    }

    /// Applies a delta without the rows that say the same as the rows they
    /// follow, such as heartbeats: `is_same` compares a known value with a new
    /// one. Deltas for other hosts then leave them out as well.
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
            let named: std::collections::HashSet<&str> =
                delta.rows.iter().map(|row| row.key.as_str()).collect();
            for row in self.rows.values_mut() {
                if row.value.is_some() && !named.contains(row.key.as_str()) {
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
        self.forget_removals();
        changed
    }

    /// All changes after a version; the whole table when removals since then
    /// are no longer known.
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

    fn forget_removals(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        if removed.count() > REMEMBERED_REMOVALS {
            self.rows.retain(|_, row| row.value.is_some());
            self.complete_after = self.version;
        }
    }
}
