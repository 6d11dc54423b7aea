//! Files: batch input comes in, batch output goes out.
//!
//! A file passes through in chunks; the daemon never holds it whole.

use std::sync::Arc;

use bitterncart_protocol::record::{Answer, Chunk, Record, Upload};
use bitterncart_protocol::{Code, Document, Name, api, hash, id};
use bitterncart_transport::http::chunks::Chunks;
use bitterncart_transport::http::{Body, Request, Response, StatusCode, server};
use bitterncart_transport::runtime::wall_ms;
use bytes::Bytes;
use compact_str::CompactString;
use futures_lite::io::AsyncReadExt;
use futures_lite::{Stream, StreamExt, stream};
use serde_json::json;

use super::permit::Permit;
use super::{Refusal, Result, batches, customer};
use crate::core::Core;
use crate::shards;

/// Bytes of input in one entry of the log.
const CHUNK_BYTES: usize = 256 << 10;

/// Bytes of one line at most.
const MAX_LINE: usize = 1 << 20;

/// Lines of one file at most.
const MAX_LINES: u32 = 1_000_000;

/// Bytes read at once.
const READ_BYTES: usize = 32 << 10;

/// Time that a file without a job stays at most, in milliseconds.
const KEEP_MS: u64 = 24 * 3600 * 1000;

/// Takes a file, as a form or as a bare body.
pub(super) async fn upload(core: &Arc<Core>, request: &mut Request) -> Result<Response> {
    let customer = customer(core, request)?;
    let document = core.document()?;
    let _permit = Permit::admit(core, &customer)?;
    let mut writer = Writer::new(core, customer, &document);
    let content_type = request
        .header("Content-Type")
        .map(|v| v.as_str().to_owned())
        .unwrap_or_default();
    let bytes = reading(request.take_body());
    match multer::parse_boundary(&content_type) {
        Ok(boundary) => form(bytes, boundary, &mut writer).await?,
        Err(_) => {
            let mut bytes = Box::pin(bytes);
            while let Some(part) = bytes.next().await {
                writer.write(&part.map_err(unreadable)?).await?;
            }
        }
    }
    let upload = writer.finish().await?;
    Ok(server::json(200, &view(&upload)))
}

fn unreadable(error: std::io::Error) -> Refusal {
    match error.kind() {
        std::io::ErrorKind::TimedOut => Refusal::new(Code::SlowSender, "the file came too slowly"),
        _ => Refusal::new(
            Code::MalformedRequest,
            format!("the file cannot be read: {error}"),
        ),
    }
}

fn reading(body: Body) -> impl Stream<Item = std::io::Result<Bytes>> + Send + 'static {
    stream::try_unfold(body, |mut body| async {
        let mut buffer = vec![0; READ_BYTES];
        let size = body.read(&mut buffer).await?;
        buffer.truncate(size);
        Ok((size > 0).then(|| (Bytes::from(buffer), body)))
    })
}

async fn form(
    bytes: impl Stream<Item = std::io::Result<Bytes>> + Send + 'static,
    boundary: String,
    writer: &mut Writer<'_>,
) -> Result<()> {
    let broken =
        |e: multer::Error| Refusal::new(Code::MalformedRequest, format!("the form is broken: {e}"));
    let mut form = multer::Multipart::new(bytes, boundary);
    while let Some(mut field) = form.next_field().await.map_err(broken)? {
        let is_file = field.name() == Some("file");
        while let Some(part) = field.chunk().await.map_err(broken)? {
            if is_file {
                writer.write(&part).await?;
            }
        }
    }
    Ok(())
}

/// Cuts a file into chunks and appends them.
struct Writer<'a> {
    core: &'a Core,
    customer: Name,
    shards: u16,
    keep_ms: u64,
    shard: Option<id::Shard>,
    hasher: Vec<u128>,
    partial: Vec<u8>,
    chunk: String,
    lines: u32,
    total: u32,
    bytes: u64,
    chunks: Vec<Chunk>,
    model: Option<(Name, CompactString)>,
}

impl<'a> Writer<'a> {
    fn new(core: &'a Core, customer: Name, document: &Document) -> Self {
        // Only the input of a job is carried forward, so a file without one
        // must go before the log may drop its chunks.
        let retention_ms = document.log.retention_s * 1000;
        Self {
            core,
            customer,
            shards: document.log.shards,
            keep_ms: KEEP_MS.min(retention_ms / 2),
            shard: None,
            hasher: Vec::new(),
            partial: Vec::new(),
            chunk: String::new(),
            lines: 0,
            total: 0,
            bytes: 0,
            chunks: Vec::new(),
            model: None,
        }
    }

    async fn write(&mut self, part: &[u8]) -> Result<()> {
        let mut rest = part;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.partial.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            self.line().await?;
        }
        self.partial.extend_from_slice(rest);
        if self.partial.len() > MAX_LINE {
            return Err(self.bad(format!("is longer than {MAX_LINE} bytes")));
        }
        Ok(())
    }

    fn bad(&self, why: impl std::fmt::Display) -> Refusal {
        Refusal::new(Code::BadItem, format!("line {}: {why}", self.total + 1))
    }

    async fn line(&mut self) -> Result<()> {
        let partial = std::mem::take(&mut self.partial);
        let text = String::from_utf8(partial).map_err(|_| self.bad("is not UTF-8"))?;
        let text = text.trim();
        if text.is_empty() {
            return Ok(());
        }
        self.check(text)?;
        self.bytes += text.len() as u64 + 1;
        self.chunk.push_str(text);
        self.chunk.push('\n');
        self.lines += 1;
        self.total += 1;
        if self.total > MAX_LINES {
            return Err(self.bad(format!("a file has at most {MAX_LINES} lines")));
        }
        if self.chunk.len() >= CHUNK_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    fn check(&mut self, text: &str) -> Result<()> {
        let line: api::Line = serde_json::from_str(text).map_err(|e| self.bad(e))?;
        let known = ["/v1/completions", "/v1/chat/completions"];
        if line.method != "POST" || !known.contains(&line.url.as_str()) {
            return Err(self.bad("write method POST and a url of completions"));
        }
        let document = self.core.document()?;
        let model = document.model(line.body.model.as_str());
        let model = model.ok_or_else(|| self.bad(format!("no model `{}`", line.body.model)))?;
        if model.batch.is_none() {
            let message = format!("model `{}` takes no batch work", model.name);
            return Err(Refusal::new(Code::NotBatchModel, message));
        }
        if line.body.tokens() > model.max_tokens {
            return Err(self.bad(format!("`max_tokens` is at most {}", model.max_tokens)));
        }
        let of_line = (line.body.model.clone(), line.url);
        let of_file = self.model.get_or_insert_with(|| of_line.clone());
        if *of_file != of_line {
            return Err(self.bad("all lines of a file name the same model and url"));
        }
        Ok(())
    }

    async fn flush(&mut self) -> Result<()> {
        if self.chunk.is_empty() {
            return Ok(());
        }
        let payload = std::mem::take(&mut self.chunk).into_bytes();
        let digest = hash::parts(&[self.customer.as_str().as_bytes(), &payload]);
        // The first chunk decides, so the same content meets itself.
        let shard = *self
            .shard
            .get_or_insert_with(|| id::Shard::of(digest, self.shards));
        self.hasher.push(digest);
        // Chunks without their file are nothing, wherever the append ended.
        let offset = shards::append_open(self.core, &shard.bodies(), &payload)
            .await
            .map_err(|_| Code::LogUnavailable)?;
        let lines = std::mem::take(&mut self.lines);
        self.chunks.push(Chunk {
            shard,
            offset,
            lines,
            at_ms: wall_ms(),
        });
        Ok(())
    }

    async fn finish(mut self) -> Result<Upload> {
        self.line().await?;
        self.flush().await?;
        let (Some(shard), Some((model, endpoint))) = (self.shard, self.model) else {
            return Err(Refusal::new(Code::BadItem, "the file has no lines"));
        };
        let digests: Vec<[u8; 16]> = self
            .hasher
            .iter()
            .map(|digest| digest.to_le_bytes())
            .collect();
        let parts: Vec<&[u8]> = digests.iter().map(<[u8; 16]>::as_slice).collect();
        let upload = Upload {
            file: id::File {
                shard,
                hash: hash::parts(&parts),
            },
            customer: self.customer,
            chunks: self.chunks,
            bytes: self.bytes,
            model,
            endpoint,
            at_ms: wall_ms(),
            keep_ms: self.keep_ms,
        };
        shards::append(self.core, shard, Record::File(Box::new(upload.clone()))).await?;
        Ok(upload)
    }
}

fn view(upload: &Upload) -> serde_json::Value {
    json!({
        "id": upload.file.to_string(),
        "object": "file",
        "bytes": upload.bytes,
        "created_at": upload.at_ms / 1000,
        "filename": "input.jsonl",
        "purpose": "batch",
    })
}

/// File of an id, if the customer owns it.
pub(super) async fn find(core: &Core, customer: &Name, id: &str) -> Result<Upload> {
    let missing = || Refusal::new(Code::NotFound, format!("no file `{id}`"));
    let file = id.parse::<id::File>().map_err(|_| missing())?;
    let upload = shards::find_file(core, file).await?;
    upload
        .filter(|upload| upload.customer == *customer)
        .ok_or_else(missing)
}

/// Shows a file.
pub(super) async fn show(core: &Core, request: &Request, id: &str) -> Result<Response> {
    let customer = customer(core, request)?;
    Ok(server::json(200, &view(&find(core, &customer, id).await?)))
}

/// Sends the output of a job, entry by entry.
pub(super) async fn content(core: &Arc<Core>, request: &Request, id: &str) -> Result<Response> {
    let customer = customer(core, request)?;
    let job = id.strip_prefix(batches::OUTPUT).unwrap_or(id);
    let job = batches::find(core, &customer, job).await?;
    let id = job.submit.job;
    let core = Arc::clone(core);
    let offsets = job.results.into_iter();
    let (sender, receiver) = async_channel::bounded(2);
    let runtime = core.runtime.clone();
    let task = async move {
        for offset in offsets {
            // A broken body tells the reader that the output is not whole.
            let answers = shards::results(&core, id, offset).await;
            let text = answers
                .map(|answers| lines(id, answers))
                .map_err(std::io::Error::other);
            let failed = text.is_err();
            if sender.send(text).await.is_err() || failed {
                return;
            }
        }
    };
    runtime.spawn(task).detach();
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("Content-Type", "application/jsonl");
    response.set_body(Body::from_reader(Chunks::new(Box::pin(receiver)), None));
    Ok(response)
}

fn lines(job: id::Job, answers: Vec<(id::Item, Answer)>) -> Vec<u8> {
    let lines = answers
        .into_iter()
        .map(|(item, answer)| batches::line(job, item, answer));
    lines.collect::<String>().into_bytes()
}
