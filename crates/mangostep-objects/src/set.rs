use serde::{Deserialize, Serialize};

use crate::{
    AvailabilityZone, CallerLimits, Key, Limit, ObjectError, ObjectFault, Route, Service,
    Workspace,
    check::SetChecker,
    source::{ObjectPlaces, SourceReader},
};

/// All objects of a fleet, as operators write them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectSet {
    /// Availability zones.
    pub zones: Vec<AvailabilityZone>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits.
    pub limits: Vec<Limit>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Keys.
    pub keys: Vec<Key>,
    /// Routes.
    pub routes: Vec<Route>,
    /// What callers may send.
    pub callers: CallerLimits,
}

impl ObjectSet {
    /// Reads the objects of one file, JSON with comments.
    ///
    /// References to objects of other files are not looked at; see
    /// [`ObjectSet::from_files`].
    ///
    /// # Errors
    ///
    /// Tells every object that cannot be read, with file, field and line.
    pub fn from_text(file: &str, text: &str) -> Result<Self, ObjectError> {
        let reader = SourceReader::read(file, text);
        if reader.faults.is_empty() {
            Ok(reader.set)
        } else {
            Err(ObjectError::new(reader.faults))
        }
    }

    /// Reads several files, given as names and texts, and checks them as one
    /// set.
    ///
    /// # Errors
    ///
    /// Tells everything that is wrong at once. An object that could not be
    /// read counts as missing, so that references to it are told too.
    ///
    /// # Example
    ///
    /// ```
    /// use mangostep_objects::ObjectSet;
    ///
    /// let text = r#"{ "objects": [
    ///     { "kind": "workspace", "name": "shop-1", "limit": "small" },
    /// ] }"#;
    /// let err = ObjectSet::from_files([("shops.jsonc", text)]).unwrap_err();
    /// assert_eq!(
    ///     err.to_string(),
    ///     "shops.jsonc:2: workspace shop-1: limit: there is no limit `small`",
    /// );
    /// ```
    pub fn from_files<'f>(
        files: impl IntoIterator<Item = (&'f str, &'f str)>,
    ) -> Result<Self, ObjectError> {
        let mut set = ObjectSet::default();
        let mut places = ObjectPlaces::new();
        let mut faults: Vec<ObjectFault> = Vec::new();
        for (file, text) in files {
            let reader = SourceReader::read(file, text);
            for ((kind, index), place) in reader.places {
                places.insert((kind, index + set.count_of(kind)), place);
            }
            faults.extend(reader.faults);
            set.merge(reader.set);
        }
        faults.extend(SetChecker::new(&set, &places).check());
        if faults.is_empty() {
            Ok(set)
        } else {
            Err(ObjectError::new(faults))
        }
    }

    /// Checks the whole set as one.
    ///
    /// # Errors
    ///
    /// Tells everything that is wrong at once; files and lines are unknown.
    pub fn check(&self) -> Result<(), ObjectError> {
        let faults = SetChecker::new(self, &ObjectPlaces::new()).check();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(ObjectError::new(faults))
        }
    }

    fn count_of(&self, kind: &str) -> usize {
        match kind {
            "zone" => self.zones.len(),
            "service" => self.services.len(),
            "limit" => self.limits.len(),
            "workspace" => self.workspaces.len(),
            "key" => self.keys.len(),
            _ => self.routes.len(),
        }
    }

    /// Adds the objects of another file.
    pub fn merge(&mut self, other: ObjectSet) {
        self.zones.extend(other.zones);
        self.services.extend(other.services);
        self.limits.extend(other.limits);
        self.workspaces.extend(other.workspaces);
        self.keys.extend(other.keys);
        self.routes.extend(other.routes);
    }
}
