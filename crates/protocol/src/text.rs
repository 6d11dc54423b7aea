//! Names in documents, records and messages.
//!
//! A [`Name`] is a short string that is stored inline where it fits. Its JSON
//! schema allows 1 to 63 letters, digits, dots, underscores and hyphens and
//! requires a letter or digit first. Only documents and settings are checked
//! against the schema; names in other messages are taken unchecked.

use std::borrow::Cow;
use std::fmt;

use compact_str::CompactString;
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Serialize};

/// Name of a customer, model, data centre or backend server.
///
/// ```
/// use bitterncart_protocol::Name;
///
/// assert_eq!(Name::from("assistant").as_str(), "assistant");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(CompactString);

impl Name {
    /// Returns the name as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl JsonSchema for Name {
    fn schema_name() -> Cow<'static, str> {
        "Name".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({
            "type": "string",
            "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
        })
    }
}
