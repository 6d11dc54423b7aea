//! Log lines of one request, job or replica, in the order of time.

use std::fs;

use serde_json::Value;

use crate::args::Trace;
use crate::error::Error;

/// Line of a log with its time.
struct Line<'a> {
    time_ms: u64,
    text: &'a str,
}

/// Prints the lines that name an id.
pub(crate) fn print(args: &Trace) -> Result<(), Error> {
    let mut texts = Vec::new();
    for path in &args.logs {
        let text =
            fs::read_to_string(path).map_err(|e| Error::File(path.display().to_string(), e))?;
        texts.push(text);
    }
    let mut lines: Vec<Line<'_>> = texts
        .iter()
        .flat_map(|text| text.lines())
        .filter_map(|text| line(text, &args.id))
        .collect();
    lines.sort_by_key(|line| line.time_ms);
    for line in lines {
        println!("{}", line.text);
    }
    Ok(())
}

/// The line if one of its values is the id.
fn line<'a>(text: &'a str, id: &str) -> Option<Line<'a>> {
    let object: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let values = object.get("kv")?.as_object()?;
    let names_it = values.values().any(|value| value.as_str() == Some(id));
    let time_ms = object.get("timestamp")?.as_u64()?;
    names_it.then_some(Line { time_ms, text })
}
