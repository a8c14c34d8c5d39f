use std::collections::BTreeMap;

use slog::Level;

/// Bounds of the lines that a process writes in one second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineBounds {
    /// Bytes of all lines. A busy host writes some hundred lines a second of
    /// about 400 bytes.
    pub bytes: usize,
    /// Lines of all kinds: as many of the shortest ones.
    pub lines: usize,
    /// Share of the bytes, in percent, that lines below the level of a warning
    /// may use, so that failures find room.
    pub info_percent: usize,
    /// Share of the bytes, in percent, that lines of one kind may use, so that
    /// no kind crowds the others out.
    pub kind_percent: usize,
}

impl Default for LineBounds {
    fn default() -> Self {
        LineBounds {
            bytes: 128 << 10,
            lines: 1_000,
            info_percent: 60,
            kind_percent: 45,
        }
    }
}

/// Counts the lines of one second and those that found no room.
///
/// The kind of a line is its message, which is one of a fixed set.
#[derive(Clone, Debug, Default)]
pub(crate) struct LineBudget {
    bytes: usize,
    lines: usize,
    kinds: BTreeMap<String, usize>,
    dropped: BTreeMap<String, u64>,
}

impl LineBudget {
    /// Begins a second.
    pub(crate) fn renew(&mut self) {
        self.bytes = 0;
        self.lines = 0;
        self.kinds.clear();
    }

    /// Lines of each kind that were dropped since this was asked last.
    pub(crate) fn take_dropped(&mut self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.dropped)
    }

    /// Whether lines were dropped that nobody was told of.
    pub(crate) fn has_dropped(&self) -> bool {
        !self.dropped.is_empty()
    }

    /// Takes room for a line; a line without room is counted as dropped.
    pub(crate) fn take(
        &mut self,
        bounds: &LineBounds,
        kind: &str,
        level: Level,
        length: usize,
    ) -> bool {
        let share = match level.is_at_least(Level::Warning) {
            true => 100,
            false => bounds.info_percent,
        };
        let used_by_kind = self.kinds.get(kind).copied().unwrap_or_default();
        let fits = self.lines * 100 < bounds.lines * share
            && (self.bytes + length) * 100 <= bounds.bytes * share
            && (used_by_kind + length) * 100 <= bounds.bytes * bounds.kind_percent;
        if !fits {
            self.drop_line(kind);
            return false;
        }
        self.bytes += length;
        self.lines += 1;
        match self.kinds.get_mut(kind) {
            Some(used) => *used += length,
            None => drop(self.kinds.insert(kind.to_owned(), length)),
        }
        true
    }

    /// Counts a line that could not be kept.
    pub(crate) fn drop_line(&mut self, kind: &str) {
        match self.dropped.get_mut(kind) {
            Some(count) => *count += 1,
            None => drop(self.dropped.insert(kind.to_owned(), 1)),
        }
    }
}
