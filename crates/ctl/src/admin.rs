//! Commands for operators: the environment document, status and drain.
//!
//! Documents are validated before any request is made, so that a document with
//! problems is never sent to a daemon. Most commands call the administration
//! API of one daemon, and print its response either as JSON or as text for
//! people. `config check`, `codes` and `key` need no daemon.

use std::net::SocketAddr;
use std::path::Path;

use bitterncart_protocol::admin::{self, Version};
use bitterncart_protocol::{Code, Document, hash};
use bitterncart_transport::http::{Client, Method};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::args::{Config, ConfigAction, Counters, Diff, Drain, Key, Publish, Status};
use crate::error::Error;

pub(crate) async fn config(config: &Config, as_json: bool) -> Result<(), Error> {
    match &config.action {
        ConfigAction::Check(check) => {
            let text = read_valid_document(&check.document)?;
            let digest = hash::digest(text.as_bytes());
            print_value(as_json, &json!({"valid": true, "digest": digest}), || {
                format!("valid, digest {digest}")
            });
            Ok(())
        }
        ConfigAction::Diff(args) => diff(args, as_json).await,
        ConfigAction::Publish(args) => publish(args, as_json).await,
        ConfigAction::Show(show) => {
            let version: Version = get_json(show.admin, "/config").await?;
            print_value(as_json, &version, || version.text.clone());
            Ok(())
        }
        ConfigAction::History(history) => {
            let versions: Vec<Version> = get_json(history.admin, "/config/history").await?;
            print_value(as_json, &versions, || {
                let row = |v: &Version| {
                    format!("{}\t{}\t{}\t{}", v.version, v.at_ms, v.operator, v.digest)
                };
                versions.iter().map(row).collect::<Vec<_>>().join("\n")
            });
            Ok(())
        }
    }
}

fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|e| Error::ReadFile(path.display().to_string(), e))
}

/// Reads and validates a document and returns its text.
fn read_valid_document(path: &Path) -> Result<String, Error> {
    let text = read_file(path)?;
    match Document::parse(&text) {
        Ok(_) => Ok(text),
        Err(problems) => {
            let line = |problem| format!("{}: {problem}", path.display());
            Err(Error::InvalidDocument(
                problems.iter().map(line).collect::<Vec<_>>().join("\n"),
            ))
        }
    }
}

async fn diff(args: &Diff, as_json: bool) -> Result<(), Error> {
    let text = read_valid_document(&args.document)?;
    let version: Version = get_json(args.admin, "/config").await?;
    let (before, after) = (document_as_json(&version.text), document_as_json(&text));
    let mut changes = Vec::new();
    find_changes("", &before, &after, &mut changes);
    print_value(as_json, &changes, || match changes.is_empty() {
        true => format!("no difference from version {}", version.version),
        false => changes.join("\n"),
    });
    Ok(())
}

/// Parses a document and converts it back to JSON, which fills in the defaults; null if it is
/// invalid.
fn document_as_json(text: &str) -> Value {
    let document = Document::parse(text).ok();
    document
        .and_then(|document| serde_json::to_value(document).ok())
        .unwrap_or_default()
}

/// Adds a line for each field whose value differs.
fn find_changes(path: &str, before: &Value, after: &Value, changes: &mut Vec<String>) {
    match (before, after) {
        (Value::Object(old), Value::Object(new)) => {
            for (name, value) in old {
                find_changes(
                    &format!("{path}/{name}"),
                    value,
                    new.get(name).unwrap_or(&Value::Null),
                    changes,
                );
            }
            for (name, value) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
                changes.push(format!("{path}/{name}: new: {value}"));
            }
        }
        (Value::Array(old), Value::Array(new)) if old.len() == new.len() => {
            for (i, (old, new)) in old.iter().zip(new).enumerate() {
                find_changes(&format!("{path}/{i}"), old, new, changes);
            }
        }
        _ if before != after => changes.push(format!("{path}: {before} -> {after}")),
        _ => {}
    }
}

async fn publish(args: &Publish, as_json: bool) -> Result<(), Error> {
    let text = read_valid_document(&args.document)?;
    let digest = hash::digest(text.as_bytes());
    if args
        .digest
        .as_ref()
        .is_some_and(|expected| *expected != digest)
    {
        let reason = format!(
            "its digest is {digest}, not the one given with --digest; publish the tested document"
        );
        return Err(Error::InvalidDocument(reason));
    }
    let publish = admin::Publish {
        base: args.base,
        text,
        operator: args.operator.as_str().into(),
    };
    let (status, body) = Client::default()
        .post(args.admin, "/config", &publish)
        .await?;
    if status != 200 {
        return Err(Error::from_response(status, &body));
    }
    let response: Value = serde_json::from_slice(&body).unwrap_or_default();
    print_value(as_json, &response, || {
        format!(
            "version {} is in force, digest {digest}",
            response["version"]
        )
    });
    Ok(())
}

pub(crate) async fn status(args: &Status, as_json: bool) -> Result<(), Error> {
    let status: admin::Status = get_json(args.admin, "/status").await?;
    print_value(as_json, &status, || format_status(&status));
    Ok(())
}

fn format_status(status: &admin::Status) -> String {
    let mut lines = vec![
        format!("daemon {} in {}", status.daemon, status.data_centre),
        format!(
            "configuration version {}, digest {}",
            status.version, status.digest
        ),
    ];
    lines.extend(
        status
            .waiting_for
            .iter()
            .map(|what| format!("waiting for {what}")),
    );
    let members = status.members.iter();
    lines.extend(
        members.map(|m| format!("member {} in {}: {:?}", m.daemon, m.data_centre, m.health)),
    );
    lines.extend(status.shards.iter().map(|s| {
        let owner = s.owner.as_ref().map_or("nobody", |owner| owner.0.as_str());
        format!(
            "shard {} owner {owner}, {} open jobs, {} open items, {} leased, {} waiting",
            s.shard.0, s.open_jobs, s.open_items, s.leased, s.waiting
        )
    }));
    lines.extend(status.replicas.iter().map(|r| {
        let slots = r
            .slots
            .map(|slots| format!(", {slots} batch slots"))
            .unwrap_or_default();
        format!(
            "replica {} {}: {} online, {} batch{slots}",
            r.name, r.state, r.online, r.batch
        )
    }));
    lines.extend(status.customers.iter().map(|c| {
        format!(
            "customer {}: {} in flight, {} admitted, {} refused",
            c.name, c.running, c.admitted, c.refused
        )
    }));
    lines.join("\n")
}

pub(crate) async fn counters(args: &Counters, as_json: bool) -> Result<(), Error> {
    let counters: std::collections::BTreeMap<String, u64> =
        get_json(args.admin, "/counters").await?;
    print_value(as_json, &counters, || {
        counters
            .iter()
            .map(|(name, value)| format!("{name} {value}"))
            .collect::<Vec<_>>()
            .join("\n")
    });
    Ok(())
}

pub(crate) async fn drain(args: &Drain, as_json: bool) -> Result<(), Error> {
    let (status, body) = Client::default()
        .post(args.admin, "/drain", &json!({}))
        .await?;
    if status != 202 {
        return Err(Error::from_response(status, &body));
    }
    print_value(as_json, &json!({"status": "draining"}), || {
        "the daemon is draining and will then exit".to_owned()
    });
    Ok(())
}

pub(crate) fn codes() {
    print!("{}", Code::table());
}

pub(crate) fn key(args: &Key) {
    println!("{}", hash::digest(args.key.as_bytes()));
}

async fn get_json<T: DeserializeOwned>(admin: SocketAddr, path: &str) -> Result<T, Error> {
    let client = Client::default();
    let request = Client::request(Method::Get, admin, path)?;
    let mut response = client.send(admin, request).await?;
    let body = client.read_body(&mut response).await?;
    let status = response.status().into();
    if status != 200 {
        return Err(Error::from_response(status, &body));
    }
    serde_json::from_slice(&body).map_err(|_| Error::UnexpectedResponse(status))
}

/// Prints a value as JSON, or as the text that `text` returns.
pub(crate) fn print_value<T: Serialize>(as_json: bool, value: &T, text: impl FnOnce() -> String) {
    if as_json {
        println!("{}", serde_json::to_string(value).unwrap_or_default());
    } else {
        println!("{}", text());
    }
}
