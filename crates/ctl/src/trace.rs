//! The `trace` command: log lines of one request, job or replica.
//!
//! Reads the log files of any number of daemons, selects the lines whose `kv`
//! object has the id as a value, and prints them in order of time. Lines
//! without a JSON object, or whose object has no `timestamp`, are skipped.

use std::fs;

use serde_json::Value;

use crate::args::Trace;
use crate::error::Error;

/// Log line with its time in milliseconds since the Unix epoch.
struct Line<'a> {
    time_ms: u64,
    text: &'a str,
}

/// Prints the lines with the given id.
pub(crate) fn run(args: &Trace) -> Result<(), Error> {
    let mut texts = Vec::new();
    for path in &args.logs {
        let text =
            fs::read_to_string(path).map_err(|e| Error::ReadFile(path.display().to_string(), e))?;
        texts.push(text);
    }
    let mut lines: Vec<Line<'_>> = texts
        .iter()
        .flat_map(|text| text.lines())
        .filter_map(|text| parse_matching_line(text, &args.id))
        .collect();
    lines.sort_by_key(|line| line.time_ms);
    for line in lines {
        println!("{}", line.text);
    }
    Ok(())
}

/// Parses a line; `None` unless one of its values is the id.
fn parse_matching_line<'a>(text: &'a str, id: &str) -> Option<Line<'a>> {
    let object: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let values = object.get("kv")?.as_object()?;
    let has_id = values.values().any(|value| value.as_str() == Some(id));
    let time_ms = object.get("timestamp")?.as_u64()?;
    has_id.then_some(Line { time_ms, text })
}
