use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use serde_json::Value;

/// The status of a host for operators, with one section per component.
///
/// A component replaces its section as a whole; operators read all sections
/// with `mangostep status`.
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
    /// Replaces a section, or adds it when it does not exist.
    pub fn set(&self, section: &'static str, value: Value) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(section, value);
    }

    /// Returns all sections as one JSON object, keyed by section name.
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
