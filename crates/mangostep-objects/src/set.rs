use serde::{Deserialize, Serialize};

use crate::{
    AvailabilityZone, CallerLimits, Key, Limit, ObjectError, ObjectFault, Route, Service,
    Workspace,
    check::{CheckStrictness, SetChecker},
    source::{ObjectLocations, SourceReader},
};

/// All configuration objects of a fleet, as written by operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectSet {
    /// Availability zones; names are unique, as in each list below.
    pub zones: Vec<AvailabilityZone>,
    /// Services that routes refer to.
    pub services: Vec<Service>,
    /// Rate limits that workspaces and open routes refer to.
    pub limits: Vec<Limit>,
    /// Workspaces that keys and keyed routes refer to.
    pub workspaces: Vec<Workspace>,
    /// Keys of the workspaces; no two have the same digest.
    pub keys: Vec<Key>,
    /// Routes; no two match the same requests.
    pub routes: Vec<Route>,
    /// Size limits and timeouts for callers. They cannot be written as an object
    /// in a file.
    pub callers: CallerLimits,
}

impl ObjectSet {
    /// Parses the objects of one file, which is JSON with comments.
    ///
    /// References between objects are not checked; see
    /// [`ObjectSet::from_files`].
    ///
    /// # Errors
    ///
    /// Returns a fault for every object that cannot be parsed.
    pub fn from_text(file: &str, text: &str) -> Result<Self, ObjectError> {
        let reader = SourceReader::read(file, text);
        if reader.faults.is_empty() {
            Ok(reader.set)
        } else {
            Err(ObjectError::new(reader.faults))
        }
    }

    /// Parses several files, given as pairs of name and text, and validates
    /// their objects as one set.
    ///
    /// # Errors
    ///
    /// Returns all faults at once. An object that cannot be parsed is missing
    /// from the set, so references to it are faults as well.
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
        let mut locations = ObjectLocations::new();
        let mut faults: Vec<ObjectFault> = Vec::new();
        for (file, text) in files {
            let reader = SourceReader::read(file, text);
            for ((kind, index), location) in reader.locations {
                locations.insert((kind, index + set.object_count(kind)), location);
            }
            faults.extend(reader.faults);
            set.merge(reader.set);
        }
        faults.extend(SetChecker::new(&set, &locations, CheckStrictness::Publishing).check());
        if faults.is_empty() {
            Ok(set)
        } else {
            Err(ObjectError::new(faults))
        }
    }

    /// Validates the objects and the references between them.
    ///
    /// # Errors
    ///
    /// Returns all faults at once, without files and lines.
    pub fn check(&self) -> Result<(), ObjectError> {
        let locations = ObjectLocations::new();
        let faults = SetChecker::new(self, &locations, CheckStrictness::Publishing).check();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(ObjectError::new(faults))
        }
    }

    fn object_count(&self, kind: &str) -> usize {
        match kind {
            "zone" => self.zones.len(),
            "service" => self.services.len(),
            "limit" => self.limits.len(),
            "workspace" => self.workspaces.len(),
            "key" => self.keys.len(),
            _ => self.routes.len(),
        }
    }

    /// Appends the objects of another set. The limits for callers stay as they
    /// are.
    pub fn merge(&mut self, other: ObjectSet) {
        self.zones.extend(other.zones);
        self.services.extend(other.services);
        self.limits.extend(other.limits);
        self.workspaces.extend(other.workspaces);
        self.keys.extend(other.keys);
        self.routes.extend(other.routes);
    }
}
