use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use serde_json::Value;

/// What the duties of a host tell operators, a section for each duty.
///
/// A section is set whole by the duty that owns it, and read by operators
/// through `mangostep status`.
///
/// # Example
///
/// ```
/// use mangostep_telemetry::StatusBoard;
///
/// let board = StatusBoard::default();
/// board.set("standing", serde_json::json!({ "state": "held" }));
/// assert_eq!(board.read()["standing"]["state"], "held");
/// ```
#[derive(Debug, Default)]
pub struct StatusBoard(Mutex<BTreeMap<&'static str, Value>>);

impl StatusBoard {
    /// Replaces a section.
    pub fn set(&self, section: &'static str, value: Value) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(section, value);
    }

    /// All sections as one object.
    pub fn read(&self) -> Value {
        let sections = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Value::Object(
            sections
                .iter()
                .map(|(name, value)| ((*name).to_owned(), value.clone()))
                .collect(),
        )
    }
}
