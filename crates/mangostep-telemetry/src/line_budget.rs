use std::collections::BTreeMap;

use slog::Level;

/// Limits on the log lines that a process writes per second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineBounds {
    /// Maximum bytes per second. A busy host writes some hundred lines per
    /// second of about 400 bytes each.
    pub bytes: usize,
    /// Maximum lines per second; limits the number of very short lines.
    pub lines: usize,
    /// Percentage of the bytes and lines that lines below warning level may
    /// use, so that capacity remains for failures.
    pub info_percent: usize,
    /// Percentage of the bytes that lines of one kind may use, so that no kind
    /// crowds out the others.
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

/// Tracks the log volume of the current second and the dropped lines.
///
/// The kind of a line is its message, which comes from a fixed set.
#[derive(Clone, Debug, Default)]
pub(crate) struct LineBudget {
    bytes: usize,
    lines: usize,
    kinds: BTreeMap<String, usize>,
    dropped: BTreeMap<String, u64>,
}

impl LineBudget {
    /// Starts a new second; dropped lines stay counted.
    pub(crate) fn start_period(&mut self) {
        self.bytes = 0;
        self.lines = 0;
        self.kinds.clear();
    }

    /// Returns the number of dropped lines of each kind and resets the counts.
    pub(crate) fn take_dropped(&mut self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.dropped)
    }

    /// Whether dropped lines have not yet been reported.
    pub(crate) fn has_dropped(&self) -> bool {
        !self.dropped.is_empty()
    }

    /// Reserves capacity for a line. Returns `false` and counts the line as
    /// dropped when it exceeds the bounds.
    pub(crate) fn reserve(
        &mut self,
        bounds: &LineBounds,
        kind: &str,
        level: Level,
        length: usize,
    ) -> bool {
        let share_percent = match level.is_at_least(Level::Warning) {
            true => 100,
            false => bounds.info_percent,
        };
        let used_by_kind = self.kinds.get(kind).copied().unwrap_or_default();
        let fits = self.lines * 100 < bounds.lines * share_percent
            && (self.bytes + length) * 100 <= bounds.bytes * share_percent
            && (used_by_kind + length) * 100 <= bounds.bytes * bounds.kind_percent;
        if !fits {
            self.count_dropped(kind);
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

    /// Counts a line that was dropped.
    pub(crate) fn count_dropped(&mut self, kind: &str) {
        match self.dropped.get_mut(kind) {
            Some(count) => *count += 1,
            None => drop(self.dropped.insert(kind.to_owned(), 1)),
        }
    }
}
