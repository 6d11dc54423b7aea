//! Commands over the administration API.

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
            let text = document(&check.document)?;
            let digest = hash::digest(text.as_bytes());
            print(as_json, &json!({"valid": true, "digest": digest}), || {
                format!("valid, digest {digest}")
            });
            Ok(())
        }
        ConfigAction::Diff(args) => diff(args, as_json).await,
        ConfigAction::Publish(args) => publish(args, as_json).await,
        ConfigAction::Show(show) => {
            let version: Version = get(show.admin, "/config").await?;
            print(as_json, &version, || version.text.clone());
            Ok(())
        }
        ConfigAction::History(history) => {
            let versions: Vec<Version> = get(history.admin, "/config/history").await?;
            print(as_json, &versions, || {
                let row = |v: &Version| {
                    format!("{}\t{}\t{}\t{}", v.version, v.at_ms, v.operator, v.digest)
                };
                versions.iter().map(row).collect::<Vec<_>>().join("\n")
            });
            Ok(())
        }
    }
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|e| Error::File(path.display().to_string(), e))
}

/// Text of a document that was checked.
fn document(path: &Path) -> Result<String, Error> {
    let text = read(path)?;
    match Document::parse(&text) {
        Ok(_) => Ok(text),
        Err(problems) => {
            let line = |problem| format!("{}: {problem}", path.display());
            Err(Error::Document(
                problems.iter().map(line).collect::<Vec<_>>().join("\n"),
            ))
        }
    }
}

async fn diff(args: &Diff, as_json: bool) -> Result<(), Error> {
    let text = document(&args.document)?;
    let version: Version = get(args.admin, "/config").await?;
    let (before, after) = (parsed(&version.text), parsed(&text));
    let mut changes = Vec::new();
    compare("", &before, &after, &mut changes);
    print(as_json, &changes, || match changes.is_empty() {
        true => format!("no difference from version {}", version.version),
        false => changes.join("\n"),
    });
    Ok(())
}

fn parsed(text: &str) -> Value {
    let document = Document::parse(text).ok();
    document
        .and_then(|document| serde_json::to_value(document).ok())
        .unwrap_or_default()
}

fn compare(path: &str, before: &Value, after: &Value, changes: &mut Vec<String>) {
    match (before, after) {
        (Value::Object(old), Value::Object(new)) => {
            for (name, value) in old {
                compare(
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
                compare(&format!("{path}/{i}"), old, new, changes);
            }
        }
        _ if before != after => changes.push(format!("{path}: {before} -> {after}")),
        _ => {}
    }
}

async fn publish(args: &Publish, as_json: bool) -> Result<(), Error> {
    let text = document(&args.document)?;
    let digest = hash::digest(text.as_bytes());
    if args
        .digest
        .as_ref()
        .is_some_and(|expected| *expected != digest)
    {
        let why = format!("its digest is {digest}; it is not the document that you tried");
        return Err(Error::Document(why));
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
        return Err(Error::of_answer(status, &body));
    }
    let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
    print(as_json, &answer, || {
        format!("version {} is in force, digest {digest}", answer["version"])
    });
    Ok(())
}

pub(crate) async fn status(args: &Status, as_json: bool) -> Result<(), Error> {
    let status: admin::Status = get(args.admin, "/status").await?;
    print(as_json, &status, || describe(&status));
    Ok(())
}

fn describe(status: &admin::Status) -> String {
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
            .map(|what| format!("waits for {what}")),
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
            "customer {}: {} under way, {} admitted, {} refused",
            c.name, c.running, c.admitted, c.refused
        )
    }));
    lines.join("\n")
}

pub(crate) async fn counters(args: &Counters, as_json: bool) -> Result<(), Error> {
    let counters: std::collections::BTreeMap<String, u64> = get(args.admin, "/counters").await?;
    print(as_json, &counters, || {
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
        return Err(Error::of_answer(status, &body));
    }
    print(as_json, &json!({"status": "draining"}), || {
        "the daemon drains and then exits".to_owned()
    });
    Ok(())
}

pub(crate) fn codes() {
    print!("{}", Code::table());
}

pub(crate) fn key(args: &Key) {
    println!("{}", hash::digest(args.key.as_bytes()));
}

async fn get<T: DeserializeOwned>(admin: SocketAddr, path: &str) -> Result<T, Error> {
    let client = Client::default();
    let request = Client::request(Method::Get, admin, path)?;
    let mut response = client.send(admin, request).await?;
    let body = client.bytes(&mut response).await?;
    let status = response.status().into();
    if status != 200 {
        return Err(Error::of_answer(status, &body));
    }
    serde_json::from_slice(&body).map_err(|_| Error::Answer(status))
}

/// Prints a value as JSON or for a person.
pub(crate) fn print<T: Serialize>(as_json: bool, value: &T, text: impl FnOnce() -> String) {
    if as_json {
        println!("{}", serde_json::to_string(value).unwrap_or_default());
    } else {
        println!("{}", text());
    }
}
