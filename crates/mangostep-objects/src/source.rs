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

/// Where an object stands in the files that operators write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ObjectPlace {
    pub(crate) file: String,
    pub(crate) line: usize,
    /// Lines of the fields by name.
    pub(crate) fields: HashMap<String, usize>,
}

/// The places of objects, by kind and index in their list of the set.
pub(crate) type ObjectPlaces = HashMap<(&'static str, usize), ObjectPlace>;

/// JSON with comments and trailing commas, and nothing looser.
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

/// Reads a settings file: one JSON object with comments.
///
/// # Errors
///
/// Tells the first field that cannot be read, with file and line; all fields
/// that are given twice.
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
            let place = reader.place_of(&object, "");
            reader.decode("", Value::from(Node::Object(object)), &place)
        }
        Some(_) => {
            reader.fault(1, "", "", "expected one object, `{ ... }`".to_owned());
            None
        }
        None => None,
    };
    match settings {
        Some(settings) if reader.faults.is_empty() => Ok(settings),
        _ => {
            if reader.faults.is_empty() {
                reader.fault(1, "", "", "the file is empty".to_owned());
            }
            Err(ObjectError::new(reader.faults))
        }
    }
}

/// Reads the objects of one file and tells all that is wrong with them.
pub(crate) struct SourceReader<'t> {
    file: &'t str,
    line_starts: Vec<usize>,
    pub(crate) set: ObjectSet,
    pub(crate) places: ObjectPlaces,
    pub(crate) faults: Vec<ObjectFault>,
}

impl<'t> SourceReader<'t> {
    pub(crate) fn read(file: &'t str, text: &'t str) -> Self {
        let mut reader = SourceReader::empty(file, text);
        let faults = reader.faults.len();
        let root = reader.parse(text);
        if reader.faults.len() == faults {
            reader.read_root(root);
        }
        reader
    }

    fn empty(file: &'t str, text: &str) -> Self {
        let newlines = text.match_indices('\n').map(|(at, _)| at + 1);
        SourceReader {
            file,
            line_starts: std::iter::once(0).chain(newlines).collect(),
            set: ObjectSet::default(),
            places: ObjectPlaces::new(),
            faults: Vec::new(),
        }
    }

    fn parse<'n>(&mut self, text: &'n str) -> Option<Node<'n>> {
        match parse_to_ast(text, &CollectOptions::default(), &parse_options()) {
            Ok(parsed) => parsed.value,
            Err(err) => {
                let line = self.line_of(err.range().start);
                self.fault(
                    line,
                    "",
                    "",
                    format!("not JSON with comments: {}", err.kind()),
                );
                None
            }
        }
    }

    fn line_of(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    fn fault(&mut self, line: usize, object: &str, field: &str, message: String) {
        self.faults.push(ObjectFault {
            file: self.file.to_owned(),
            line,
            object: object.to_owned(),
            field: field.to_owned(),
            message,
        });
    }

    fn read_root(&mut self, root: Option<Node<'_>>) {
        let expected = "expected `{ \"objects\": [ ... ] }`".to_owned();
        let Some(Node::Object(root)) = root else {
            return self.fault(1, "", "", expected);
        };
        for property in &root.properties {
            let name = property.name.as_str();
            if name != "objects" {
                let line = self.line_of(property.range.start);
                let message = "unknown field, expected `objects`".to_owned();
                self.fault(line, "", name, message);
            }
        }
        let Some(list) = root.get_array("objects") else {
            return self.fault(1, "", "", expected);
        };
        for element in &list.elements {
            match element {
                Node::Object(object) => self.read_object(object),
                other => {
                    let line = self.line_of(other.range().start);
                    self.fault(
                        line,
                        "",
                        "",
                        "an object must be written as `{ ... }`".to_owned(),
                    );
                }
            }
        }
    }

    fn read_object(&mut self, object: &Object<'_>) {
        let text_of = |field| object.get_string(field).map(|text| text.value.to_string());
        let kind = text_of("kind").unwrap_or_default();
        let name = text_of("name").unwrap_or_default();
        let label = format!("{kind} {name}").trim().to_owned();
        let place = self.place_of(object, &label);
        let mut value = Value::from(Node::Object(object.clone()));
        if let Some(fields) = value.as_object_mut() {
            fields.remove("kind");
        }
        self.push_object(&kind, &label, value, place);
    }

    /// Where an object and its fields stand; tells fields given twice.
    fn place_of(&mut self, object: &Object<'_>, label: &str) -> ObjectPlace {
        let mut fields = HashMap::new();
        for property in &object.properties {
            let field = property.name.as_str();
            let line = self.line_of(property.range.start);
            if fields.insert(field.to_owned(), line).is_some() {
                self.fault(line, label, field, "given twice".to_owned());
            }
        }
        ObjectPlace {
            file: self.file.to_owned(),
            line: self.line_of(object.range.start),
            fields,
        }
    }

    fn push_object(&mut self, kind: &str, label: &str, value: Value, place: ObjectPlace) {
        macro_rules! push {
            ($list:ident, $kind:literal) => {
                if let Some(object) = self.decode(label, value, &place) {
                    self.places.insert(($kind, self.set.$list.len()), place);
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
                let line = place.fields.get("kind").copied().unwrap_or(place.line);
                self.fault(line, label, "kind", message);
            }
        }
    }

    fn decode<T: DeserializeOwned>(
        &mut self,
        label: &str,
        value: Value,
        place: &ObjectPlace,
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
                let first = field.split(['.', '[']).next().unwrap_or_default();
                let line = place.fields.get(first).copied().unwrap_or(place.line);
                self.fault(line, label, &field, message);
                None
            }
        }
    }
}
