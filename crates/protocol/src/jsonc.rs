//! Checked reading of JSON with comments.
//!
//! The JSON schema that the Rust types derive finds every structural problem
//! at once; the syntax tree gives the line of each.

use std::fmt;

use jsonc_parser::ast::Value as Node;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;
use schemars::{JsonSchema, schema_for};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Problem in a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Line, from 1.
    pub line: usize,
    /// Path to the field, such as `/models/0/name`.
    pub path: String,
    /// What is wrong and what to write.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.path, self.message)
    }
}

/// Lines of a text's fields.
#[derive(Debug)]
pub struct Lines<'a> {
    text: &'a str,
    root: Option<Node<'a>>,
}

impl Lines<'_> {
    /// Problem at a path.
    #[must_use]
    pub fn problem(&self, path: impl Into<String>, message: impl Into<String>) -> Problem {
        let path = path.into();
        Problem {
            line: self.line(&path),
            path: if path.is_empty() {
                "/".to_owned()
            } else {
                path
            },
            message: message.into(),
        }
    }

    fn line(&self, path: &str) -> usize {
        let mut at = 0;
        let mut node = self.root.as_ref();
        for step in path.split('/').skip(1) {
            node = match node {
                Some(Node::Object(object)) => object.get(step).map(|field| &field.value),
                Some(Node::Array(array)) => step
                    .parse::<usize>()
                    .ok()
                    .and_then(|i| array.elements.get(i)),
                _ => None,
            };
            at = match node {
                Some(node) => node.range().start,
                None => break,
            };
        }
        line_at(self.text, at)
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

/// Value of a text and the lines of its fields.
///
/// # Errors
///
/// All structural problems at once.
pub fn parse<T: DeserializeOwned + JsonSchema>(text: &str) -> Result<(T, Lines<'_>), Vec<Problem>> {
    let syntax = |line: usize, message: String| {
        vec![Problem {
            line,
            path: "/".to_owned(),
            message,
        }]
    };
    let tree =
        parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()).map_err(|e| {
            syntax(
                line_at(text, e.range().start),
                format!("{}; correct the JSON", e.kind()),
            )
        })?;
    let lines = Lines {
        text,
        root: tree.value,
    };
    let Some(root) = &lines.root else {
        return Err(syntax(1, "the file is empty; write an object".to_owned()));
    };
    let duplicates = duplicate_fields(root, "");
    let value: serde_json::Value = root.clone().into();
    let schema = serde_json::to_value(schema_for!(T)).unwrap_or_default();
    let validator = jsonschema::validator_for(&schema)
        .map_err(|e| syntax(1, format!("the schema is broken: {e}")))?;
    let mut problems: Vec<Problem> = validator
        .iter_errors(&value)
        .flat_map(|error| explain(&lines, &error))
        .collect();
    problems.extend(
        duplicates
            .into_iter()
            .map(|path| lines.problem(path, "the field is stated twice; keep one")),
    );
    if !problems.is_empty() {
        return Err(problems);
    }
    match serde_json::from_value(value) {
        Ok(parsed) => Ok((parsed, lines)),
        Err(e) => Err(vec![lines.problem("", e.to_string())]),
    }
}

/// Says of one error of the schema what is wrong and what to write.
fn explain(lines: &Lines<'_>, error: &ValidationError<'_>) -> Vec<Problem> {
    let path = error.instance_path.to_string();
    match &error.kind {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|name| {
                let path = format!("{path}/{name}");
                lines.problem(
                    path,
                    "there is no such field; correct its name or remove it",
                )
            })
            .collect(),
        ValidationErrorKind::Required { .. } => {
            vec![lines.problem(path, format!("{error}; add it"))]
        }
        ValidationErrorKind::Type { .. } => {
            vec![lines.problem(path, format!("{error}; write a value of that type"))]
        }
        _ => vec![lines.problem(path, format!("{error}; write a value that fits"))],
    }
}

fn duplicate_fields(node: &Node<'_>, path: &str) -> Vec<String> {
    match node {
        Node::Object(object) => {
            let mut found = Vec::new();
            for (i, field) in object.properties.iter().enumerate() {
                let name = field.name.as_str();
                let at = format!("{path}/{name}");
                if object.properties[..i]
                    .iter()
                    .any(|other| other.name.as_str() == name)
                {
                    found.push(at.clone());
                }
                found.extend(duplicate_fields(&field.value, &at));
            }
            found
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
