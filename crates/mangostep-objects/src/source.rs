use std::collections::HashMap;

use {
    jsonc_parser::{
        CollectOptions, ParseOptions,
        ast::{Object, Value as Node},
        common::Ranged,
        parse_to_ast,
    },
    serde::de::DeserializeOwned,
    serde_json::Value,
};

use crate::{ObjectError, ObjectFault, ObjectSet};

/// The location of an object in the files written by operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ObjectLocation {
    pub(crate) file: String,
    pub(crate) line: usize,
    /// Line of each field, by field name.
    pub(crate) fields: HashMap<String, usize>,
}

/// Locations by kind of object and index in the set's list of that kind.
pub(crate) type ObjectLocations = HashMap<(&'static str, usize), ObjectLocation>;

/// Allows comments and trailing commas in JSON, but no other extensions.
fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Parses a settings file, which is one JSON object with comments.
///
/// # Errors
///
/// Returns the first field that cannot be deserialized, with file and line,
/// and all duplicate fields.
///
/// # Example
///
/// ```
/// use mangostep_objects::read_settings;
///
/// #[derive(Debug, serde::Deserialize)]
/// struct Lamp {
///     watts: u32,
/// }
///
/// let lamp: Lamp = read_settings("lamp.jsonc", "{ \"watts\": 5 // dim\n }")?;
/// assert_eq!(lamp.watts, 5);
/// let err = read_settings::<Lamp>("lamp.jsonc", "{\n\"watts\": \"5 W\" }").unwrap_err();
/// assert!(err.to_string().starts_with("lamp.jsonc:2: watts: "));
/// # Ok::<(), mangostep_objects::ObjectError>(())
/// ```
pub fn read_settings<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, ObjectError> {
    let mut reader = SourceReader::empty(file, text);
    let settings = match reader.parse(text) {
        Some(Node::Object(object)) => {
            let location = reader.locate(&object, "");
            reader.decode("", Value::from(Node::Object(object)), &location)
        }
        Some(_) => {
            reader.add_fault(
                1,
                "",
                "",
                "the file must contain one JSON object, `{ ... }`".to_owned(),
            );
            None
        }
        None => None,
    };
    match settings {
        Some(settings) if reader.faults.is_empty() => Ok(settings),
        _ => {
            if reader.faults.is_empty() {
                reader.add_fault(
                    1,
                    "",
                    "",
                    "the file is empty, it must contain one JSON object, `{ ... }`".to_owned(),
                );
            }
            Err(ObjectError::new(reader.faults))
        }
    }
}

/// Parses the objects of one file and collects all faults.
pub(crate) struct SourceReader<'t> {
    file: &'t str,
    line_starts: Vec<usize>,
    pub(crate) set: ObjectSet,
    pub(crate) locations: ObjectLocations,
    pub(crate) faults: Vec<ObjectFault>,
}

impl<'t> SourceReader<'t> {
    pub(crate) fn read(file: &'t str, text: &'t str) -> Self {
        let mut reader = SourceReader::empty(file, text);
        let faults_before = reader.faults.len();
        let root = reader.parse(text);
        if reader.faults.len() == faults_before {
            reader.read_root(root);
        }
        reader
    }

    fn empty(file: &'t str, text: &str) -> Self {
        let after_newlines = text.match_indices('\n').map(|(offset, _)| offset + 1);
        SourceReader {
            file,
            line_starts: std::iter::once(0).chain(after_newlines).collect(),
            set: ObjectSet::default(),
            locations: ObjectLocations::new(),
            faults: Vec::new(),
        }
    }

    fn parse<'n>(&mut self, text: &'n str) -> Option<Node<'n>> {
        match parse_to_ast(text, &CollectOptions::default(), &parse_options()) {
            Ok(parsed) => parsed.value,
            Err(err) => {
                let line = self.line_at(err.range().start);
                self.add_fault(
                    line,
                    "",
                    "",
                    format!("invalid JSON with comments: {}", err.kind()),
                );
                None
            }
        }
    }

    fn line_at(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    fn add_fault(&mut self, line: usize, object: &str, field: &str, message: String) {
        self.faults.push(ObjectFault {
            file: self.file.to_owned(),
            line,
            object: object.to_owned(),
            field: field.to_owned(),
            message,
        });
    }

    fn read_root(&mut self, root: Option<Node<'_>>) {
        let expected = "the file must contain `{ \"objects\": [ ... ] }`".to_owned();
        let Some(Node::Object(root)) = root else {
            return self.add_fault(1, "", "", expected);
        };
        for property in &root.properties {
            let name = property.name.as_str();
            if name != "objects" {
                let line = self.line_at(property.range.start);
                let message = "unknown field, expected `objects`".to_owned();
                self.add_fault(line, "", name, message);
            }
        }
        let Some(list) = root.get_array("objects") else {
            return self.add_fault(1, "", "", expected);
        };
        for element in &list.elements {
            match element {
                Node::Object(object) => self.read_object(object),
                element => {
                    let line = self.line_at(element.range().start);
                    self.add_fault(
                        line,
                        "",
                        "",
                        "every element of `objects` must be a JSON object, `{ ... }`".to_owned(),
                    );
                }
            }
        }
    }

    fn read_object(&mut self, object: &Object<'_>) {
        let string_field = |field| object.get_string(field).map(|text| text.value.to_string());
        let kind = string_field("kind").unwrap_or_default();
        let name = string_field("name").unwrap_or_default();
        let label = format!("{kind} {name}").trim().to_owned();
        let location = self.locate(object, &label);
        let mut value = Value::from(Node::Object(object.clone()));
        if let Some(fields) = value.as_object_mut() {
            fields.remove("kind");
        }
        self.push_object(&kind, &label, value, location);
    }

    /// Returns the location of an object and its fields; reports duplicate
    /// fields.
    fn locate(&mut self, object: &Object<'_>, label: &str) -> ObjectLocation {
        let mut fields = HashMap::new();
        for property in &object.properties {
            let field = property.name.as_str();
            let line = self.line_at(property.range.start);
            if fields.insert(field.to_owned(), line).is_some() {
                self.add_fault(
                    line,
                    label,
                    field,
                    "duplicate field, must be given once".to_owned(),
                );
            }
        }
        ObjectLocation {
            file: self.file.to_owned(),
            line: self.line_at(object.range.start),
            fields,
        }
    }

    fn push_object(&mut self, kind: &str, label: &str, value: Value, location: ObjectLocation) {
        macro_rules! push {
            ($list:ident, $kind:literal) => {
                if let Some(object) = self.decode(label, value, &location) {
                    self.locations
                        .insert(($kind, self.set.$list.len()), location);
                    self.set.$list.push(object);
                }
            };
        }
        match kind {
            "zone" => push!(zones, "zone"),
            "service" => push!(services, "service"),
            "limit" => push!(limits, "limit"),
            "workspace" => push!(workspaces, "workspace"),
            "key" => push!(keys, "key"),
            "route" => push!(routes, "route"),
            _ => {
                let message = "expected one of `zone`, `service`, `limit`, `workspace`, `key`, \
                               `route`"
                    .to_owned();
                let line = location
                    .fields
                    .get("kind")
                    .copied()
                    .unwrap_or(location.line);
                self.add_fault(line, label, "kind", message);
            }
        }
    }

    fn decode<T: DeserializeOwned>(
        &mut self,
        label: &str,
        value: Value,
        location: &ObjectLocation,
    ) -> Option<T> {
        match serde_path_to_error::deserialize(value) {
            Ok(object) => Some(object),
            Err(err) => {
                let path = err.path().to_string();
                let field = if path == "." { String::new() } else { path };
                let mut message = err.into_inner().to_string();
                if field.ends_with("_ms") {
                    message.push_str(" (a whole number of milliseconds)");
                }
                let top_level = field.split(['.', '[']).next().unwrap_or_default();
                let line = location
                    .fields
                    .get(top_level)
                    .copied()
                    .unwrap_or(location.line);
                self.add_fault(line, label, &field, message);
                None
            }
        }
    }
}
