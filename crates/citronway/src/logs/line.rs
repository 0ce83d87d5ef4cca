//! Form of one line of the logs.

use indexmap::IndexMap;
use log::Record;
use log::kv::{self, Key, Value, VisitSource, VisitValue};
use serde::Serialize;

use citronway_core::ids::{InstanceName, ZoneName};

/// Stands in a line for a value that must not be logged.
pub const HIDDEN: &str = "[hidden]";

/// Fields whose values never reach the logs: secrets and callers' contents.
const SECRET_FIELDS: [&str; 6] = [
    "authorization",
    "body",
    "password",
    "secret",
    "token",
    "value",
];

/// Names that each line has already.
const OWN_FIELDS: [&str; 6] = ["time", "level", "instance", "zone", "target", "message"];

/// Put before a field whose name a line has already.
const CLASH_PREFIX: &str = "field_";

/// Process that writes the logs.
#[derive(Debug, Clone)]
pub struct Origin {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
}

#[derive(Serialize)]
struct Line<'a> {
    time: &'a str,
    level: &'a str,
    instance: &'a str,
    zone: &'a str,
    target: &'a str,
    message: String,
    #[serde(flatten)]
    fields: IndexMap<String, Field>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Field {
    Unsigned(u64),
    Signed(i64),
    Float(f64),
    Bool(bool),
    Text(String),
}

/// Formats a record as one line of JSON, without the line's end.
///
/// `time` is RFC 3339 in UTC with milliseconds. Fields of the record follow the
/// fixed ones; a field that may hold a secret or a body shows [`HIDDEN`].
///
/// # Errors
///
/// When a field cannot be serialised.
pub fn format(time: &str, origin: &Origin, record: &Record<'_>) -> Result<String, FormatError> {
    let mut fields = Fields::default();
    record.key_values().visit(&mut fields)?;
    let line = Line {
        time,
        level: record.level().as_str(),
        instance: origin.instance.as_str(),
        zone: origin.zone.as_str(),
        target: record.target(),
        message: record.args().to_string(),
        fields: fields.0,
    };
    Ok(serde_json::to_string(&line)?)
}

/// A record that cannot be formatted.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// A field cannot be read.
    #[error("field of a log record: {0}")]
    Field(#[from] kv::Error),
    /// The line cannot be serialised.
    #[error("line of the logs: {0}")]
    Json(#[from] serde_json::Error),
}

#[derive(Default)]
struct Fields(IndexMap<String, Field>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let name = key.as_str();
        let mut reader = FieldReader(None);
        value.visit(&mut reader)?;
        // Failure: a token or a caller's body is handed to the logger by
        // mistake and stands readable in the log store. The value is replaced
        // by name here, the one place that every line passes.
        let field = match reader.0 {
            _ if SECRET_FIELDS.contains(&name) => Field::Text(HIDDEN.to_owned()),
            Some(field) => field,
            None => Field::Text(value.to_string()),
        };
        let name = if OWN_FIELDS.contains(&name) {
            format!("{CLASH_PREFIX}{name}")
        } else {
            name.to_owned()
        };
        self.0.insert(name, field);
        Ok(())
    }
}

struct FieldReader(Option<Field>);

impl VisitValue<'_> for FieldReader {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), kv::Error> {
        self.0 = Some(Field::Text(value.to_string()));
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), kv::Error> {
        self.0 = Some(Field::Unsigned(value));
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), kv::Error> {
        self.0 = Some(Field::Signed(value));
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), kv::Error> {
        self.0 = Some(Field::Float(value));
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), kv::Error> {
        self.0 = Some(Field::Bool(value));
        Ok(())
    }

    fn visit_str(&mut self, value: &str) -> Result<(), kv::Error> {
        self.0 = Some(Field::Text(value.to_owned()));
        Ok(())
    }
}
