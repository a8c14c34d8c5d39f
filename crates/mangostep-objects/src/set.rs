use {
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

use crate::{AvailabilityZone, Key, Limit, ObjectError, ObjectFault, Route, Service, Workspace};

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
}

impl ObjectSet {
    /// Reads the objects of one file, JSON with comments.
    ///
    /// # Errors
    ///
    /// Every object that cannot be read is told, with its file.
    pub fn from_text(file: &str, text: &str) -> Result<Self, ObjectError> {
        let fault = |object: &str, message: String| ObjectFault {
            file: file.to_owned(),
            line: 0,
            object: object.to_owned(),
            field: String::new(),
            message,
        };
        let root: Value = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|err| ObjectError::new(vec![fault("", err.to_string())]))?;
        let Some(list) = root.get("objects").and_then(Value::as_array) else {
            let message = "expected an object with the field `objects`, a list".to_owned();
            return Err(ObjectError::new(vec![fault("", message)]));
        };
        let mut set = ObjectSet::default();
        let mut faults = Vec::new();
        for item in list {
            if let Err(message) = set.push_value(item.clone()) {
                faults.push(fault("", message));
            }
        }
        if faults.is_empty() {
            Ok(set)
        } else {
            Err(ObjectError::new(faults))
        }
    }

    fn push_value(&mut self, mut item: Value) -> Result<(), String> {
        let kind = item
            .as_object_mut()
            .and_then(|fields| fields.remove("kind"));
        let kind = kind.as_ref().and_then(Value::as_str).unwrap_or_default();
        fn read<T: serde::de::DeserializeOwned>(item: Value) -> Result<T, String> {
            serde_json::from_value(item).map_err(|err| err.to_string())
        }
        match kind {
            "zone" => self.zones.push(read(item)?),
            "service" => self.services.push(read(item)?),
            "limit" => self.limits.push(read(item)?),
            "workspace" => self.workspaces.push(read(item)?),
            "key" => self.keys.push(read(item)?),
            "route" => self.routes.push(read(item)?),
            other => return Err(format!("unknown kind `{other}`")),
        }
        Ok(())
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
