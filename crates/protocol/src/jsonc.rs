//! Parsing and schema validation of JSON with comments.
//!
//! [`parse`] validates a text against the JSON schema derived from a Rust
//! type and reports all violations at once, each with the line of its field
//! and advice on how to correct it. The lines come from the syntax tree, as a
//! deserialized value has no positions. Fields that occur twice, which a schema
//! cannot detect, are reported as well.

use std::fmt;

use jsonc_parser::ast::Value as Node;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;
use schemars::{JsonSchema, schema_for};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Problem in a text, with its position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Line number, from 1.
    pub line: usize,
    /// JSON pointer to the field, such as `/models/0/name`.
    pub path: String,
    /// Description of the problem and how to correct it.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.path, self.message)
    }
}

/// Source text with its syntax tree, to find the line of a field.
#[derive(Debug)]
pub struct SourceMap<'a> {
    text: &'a str,
    root: Option<Node<'a>>,
}

impl SourceMap<'_> {
    /// Creates a problem at a path; a missing field has the line of its closest existing parent.
    #[must_use]
    pub fn problem(&self, path: impl Into<String>, message: impl Into<String>) -> Problem {
        let path = path.into();
        Problem {
            line: self.line_of(&path),
            path: if path.is_empty() {
                "/".to_owned()
            } else {
                path
            },
            message: message.into(),
        }
    }

    fn line_of(&self, path: &str) -> usize {
        let mut offset = 0;
        let mut node = self.root.as_ref();
        for segment in path.split('/').skip(1) {
            node = match node {
                Some(Node::Object(object)) => object.get(segment).map(|field| &field.value),
                Some(Node::Array(array)) => segment
                    .parse::<usize>()
                    .ok()
                    .and_then(|i| array.elements.get(i)),
                _ => None,
            };
            offset = match node {
                Some(node) => node.range().start,
                None => break,
            };
        }
        line_at(self.text, offset)
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

/// Parses a text and returns its value with the source map, for further checks.
///
/// # Errors
///
/// All schema violations and duplicate fields, or the first syntax error.
pub fn parse<T: DeserializeOwned + JsonSchema>(
    text: &str,
) -> Result<(T, SourceMap<'_>), Vec<Problem>> {
    let problem_at = |line: usize, message: String| {
        vec![Problem {
            line,
            path: "/".to_owned(),
            message,
        }]
    };
    let tree =
        parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()).map_err(|e| {
            problem_at(
                line_at(text, e.range().start),
                format!("{}; correct the JSON", e.kind()),
            )
        })?;
    let source_map = SourceMap {
        text,
        root: tree.value,
    };
    let Some(root) = &source_map.root else {
        return Err(problem_at(
            1,
            "the file is empty; write an object".to_owned(),
        ));
    };
    let duplicates = duplicate_fields(root, "");
    let value: serde_json::Value = root.clone().into();
    let schema = serde_json::to_value(schema_for!(T)).unwrap_or_default();
    let validator = jsonschema::validator_for(&schema)
        .map_err(|e| problem_at(1, format!("the schema is broken: {e}")))?;
    let mut problems: Vec<Problem> = validator
        .iter_errors(&value)
        .flat_map(|error| describe(&source_map, &error))
        .collect();
    problems.extend(
        duplicates
            .into_iter()
            .map(|path| source_map.problem(path, "the field is stated twice; keep one")),
    );
    if !problems.is_empty() {
        return Err(problems);
    }
    match serde_json::from_value(value) {
        Ok(parsed) => Ok((parsed, source_map)),
        Err(e) => Err(vec![source_map.problem("", e.to_string())]),
    }
}

/// Describes a schema violation and how to correct it; one problem for each unknown field.
fn describe(source_map: &SourceMap<'_>, error: &ValidationError<'_>) -> Vec<Problem> {
    let path = error.instance_path.to_string();
    match &error.kind {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|name| {
                let path = format!("{path}/{name}");
                source_map.problem(
                    path,
                    "there is no such field; correct its name or remove it",
                )
            })
            .collect(),
        ValidationErrorKind::Required { .. } => {
            vec![source_map.problem(path, format!("{error}; add it"))]
        }
        ValidationErrorKind::Type { .. } => {
            vec![source_map.problem(path, format!("{error}; write a value of that type"))]
        }
        _ => vec![source_map.problem(path, format!("{error}; write a value that fits"))],
    }
}

/// Returns the paths of all fields that occur more than once in their object.
fn duplicate_fields(node: &Node<'_>, path: &str) -> Vec<String> {
    match node {
        Node::Object(object) => {
            let mut duplicates = Vec::new();
            for (i, field) in object.properties.iter().enumerate() {
                let name = field.name.as_str();
                let field_path = format!("{path}/{name}");
                if object.properties[..i]
                    .iter()
                    .any(|other| other.name.as_str() == name)
                {
                    duplicates.push(field_path.clone());
                }
                duplicates.extend(duplicate_fields(&field.value, &field_path));
            }
            duplicates
        }
        Node::Array(array) => array
            .elements
            .iter()
            .enumerate()
            .flat_map(|(i, element)| duplicate_fields(element, &format!("{path}/{i}")))
            .collect(),
        _ => Vec::new(),
    }
}
