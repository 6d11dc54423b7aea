//! Batch files: upload of input, download of output.
//!
//! An uploaded file is checked line by line and appended to the log in chunks while
//! it is read, so the daemon never holds it as a whole. The file's id is derived from
//! the customer and the content, so a repeated upload yields the same id. Output is
//! read from the log one entry at a time and streamed to the caller.

use std::sync::Arc;

use bitterncart_protocol::record::{Answer, Chunk, Record, Upload};
use bitterncart_protocol::{Code, Document, Name, api, hash, id};
use bitterncart_transport::http::chunks::Chunks;
use bitterncart_transport::http::{Body, Request, Response, StatusCode, server};
use bitterncart_transport::runtime::unix_time_ms;
use bytes::Bytes;
use compact_str::CompactString;
use futures_lite::io::AsyncReadExt;
use futures_lite::{Stream, StreamExt, stream};
use serde_json::json;

use super::permit::Permit;
use super::{ApiError, Result, batches, customer};
use crate::core::Core;
use crate::shards;

/// Size at which a chunk of input is appended to the log as one entry.
const CHUNK_BYTES: usize = 256 << 10;

/// Maximum length of a line.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Maximum number of lines of a file.
const MAX_LINES: u32 = 1_000_000;

/// Size of the buffer for one read of the request body.
const READ_BYTES: usize = 32 << 10;

/// Maximum time for which a file without a job is kept, in milliseconds.
const MAX_KEEP_MS: u64 = 24 * 3600 * 1000;

/// Stores an uploaded file, sent as a multipart form or as a plain body.
pub(super) async fn upload(core: &Arc<Core>, request: &mut Request) -> Result<Response> {
    let customer = customer(core, request)?;
    let document = core.document()?;
    let _permit = Permit::admit(core, &customer)?;
    let mut writer = Writer::new(core, customer, &document);
    let content_type = request
        .header("Content-Type")
        .map(|v| v.as_str().to_owned())
        .unwrap_or_default();
    let bytes = body_stream(request.take_body());
    match multer::parse_boundary(&content_type) {
        Ok(boundary) => write_form(bytes, boundary, &mut writer).await?,
        Err(_) => {
            let mut bytes = Box::pin(bytes);
            while let Some(part) = bytes.next().await {
                writer.write(&part.map_err(read_error)?).await?;
            }
        }
    }
    let upload = writer.finish().await?;
    Ok(server::json(200, &view(&upload)))
}

fn read_error(error: std::io::Error) -> ApiError {
    match error.kind() {
        std::io::ErrorKind::TimedOut => ApiError::new(Code::SlowSender, "the file came too slowly"),
        _ => ApiError::new(
            Code::MalformedRequest,
            format!("the file cannot be read: {error}"),
        ),
    }
}

fn body_stream(body: Body) -> impl Stream<Item = std::io::Result<Bytes>> + Send + 'static {
    stream::try_unfold(body, |mut body| async {
        let mut buffer = vec![0; READ_BYTES];
        let size = body.read(&mut buffer).await?;
        buffer.truncate(size);
        Ok((size > 0).then(|| (Bytes::from(buffer), body)))
    })
}

/// Writes the `file` fields of a multipart form.
async fn write_form(
    bytes: impl Stream<Item = std::io::Result<Bytes>> + Send + 'static,
    boundary: String,
    writer: &mut Writer<'_>,
) -> Result<()> {
    let form_error = |e: multer::Error| {
        ApiError::new(Code::MalformedRequest, format!("the form is broken: {e}"))
    };
    let mut form = multer::Multipart::new(bytes, boundary);
    while let Some(mut field) = form.next_field().await.map_err(form_error)? {
        let is_file = field.name() == Some("file");
        while let Some(part) = field.chunk().await.map_err(form_error)? {
            if is_file {
                writer.write(&part).await?;
            }
        }
    }
    Ok(())
}

/// Splits a file into lines, checks them and appends them to the log in chunks.
struct Writer<'a> {
    core: &'a Core,
    customer: Name,
    shard_count: u16,
    keep_ms: u64,
    shard: Option<id::Shard>,
    chunk_digests: Vec<u128>,
    partial_line: Vec<u8>,
    chunk: String,
    chunk_lines: u32,
    total_lines: u32,
    total_bytes: u64,
    chunks: Vec<Chunk>,
    model_and_endpoint: Option<(Name, CompactString)>,
}

impl<'a> Writer<'a> {
    fn new(core: &'a Core, customer: Name, document: &Document) -> Self {
        // Only the input of a job is rewritten before it expires, so a file without a
        // job has to expire before the log may drop its chunks.
        let retention_ms = document.log.retention_s * 1000;
        Self {
            core,
            customer,
            shard_count: document.log.shards,
            keep_ms: MAX_KEEP_MS.min(retention_ms / 2),
            shard: None,
            chunk_digests: Vec::new(),
            partial_line: Vec::new(),
            chunk: String::new(),
            chunk_lines: 0,
            total_lines: 0,
            total_bytes: 0,
            chunks: Vec::new(),
            model_and_endpoint: None,
        }
    }

    async fn write(&mut self, part: &[u8]) -> Result<()> {
        let mut rest = part;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.partial_line.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            self.end_line().await?;
        }
        self.partial_line.extend_from_slice(rest);
        if self.partial_line.len() > MAX_LINE_BYTES {
            return Err(self.line_error(format!("is longer than {MAX_LINE_BYTES} bytes")));
        }
        Ok(())
    }

    /// Error about the line being read.
    fn line_error(&self, why: impl std::fmt::Display) -> ApiError {
        ApiError::new(
            Code::BadItem,
            format!("line {}: {why}", self.total_lines + 1),
        )
    }

    async fn end_line(&mut self) -> Result<()> {
        let partial = std::mem::take(&mut self.partial_line);
        let text = String::from_utf8(partial).map_err(|_| self.line_error("is not UTF-8"))?;
        let text = text.trim();
        if text.is_empty() {
            return Ok(());
        }
        self.check_line(text)?;
        self.total_bytes += text.len() as u64 + 1;
        self.chunk.push_str(text);
        self.chunk.push('\n');
        self.chunk_lines += 1;
        self.total_lines += 1;
        if self.total_lines > MAX_LINES {
            return Err(self.line_error(format!("a file has at most {MAX_LINES} lines")));
        }
        if self.chunk.len() >= CHUNK_BYTES {
            self.flush_chunk().await?;
        }
        Ok(())
    }

    fn check_line(&mut self, text: &str) -> Result<()> {
        let line: api::Line = serde_json::from_str(text).map_err(|e| self.line_error(e))?;
        let known = ["/v1/completions", "/v1/chat/completions"];
        if line.method != "POST" || !known.contains(&line.url.as_str()) {
            return Err(self.line_error("write method POST and a url of completions"));
        }
        let document = self.core.document()?;
        let model = document.model(line.body.model.as_str());
        let model =
            model.ok_or_else(|| self.line_error(format!("no model `{}`", line.body.model)))?;
        if model.batch.is_none() {
            let message = format!("model `{}` takes no batch work", model.name);
            return Err(ApiError::new(Code::NotBatchModel, message));
        }
        if line.body.max_tokens_or_default() > model.max_tokens {
            return Err(self.line_error(format!("`max_tokens` is at most {}", model.max_tokens)));
        }
        let of_line = (line.body.model.clone(), line.url);
        let of_file = self
            .model_and_endpoint
            .get_or_insert_with(|| of_line.clone());
        if *of_file != of_line {
            return Err(self.line_error("all lines of a file name the same model and url"));
        }
        Ok(())
    }

    async fn flush_chunk(&mut self) -> Result<()> {
        if self.chunk.is_empty() {
            return Ok(());
        }
        let payload = std::mem::take(&mut self.chunk).into_bytes();
        let digest = hash::hash_parts(&[self.customer.as_str().as_bytes(), &payload]);
        // The first chunk's digest selects the shard, so that the same content always
        // has the same shard.
        let shard = *self
            .shard
            .get_or_insert_with(|| id::Shard::from_hash(digest, self.shard_count));
        self.chunk_digests.push(digest);
        // An append of unknown outcome is reported as not appended: a chunk in the log
        // has no effect unless the file's record refers to it.
        let offset = shards::append_with_retry(self.core, &shard.input_stream(), &payload)
            .await
            .map_err(|_| Code::LogUnavailable)?;
        let lines = std::mem::take(&mut self.chunk_lines);
        self.chunks.push(Chunk {
            shard,
            offset,
            lines,
            at_ms: unix_time_ms(),
        });
        Ok(())
    }

    async fn finish(mut self) -> Result<Upload> {
        self.end_line().await?;
        self.flush_chunk().await?;
        let (Some(shard), Some((model, endpoint))) = (self.shard, self.model_and_endpoint) else {
            return Err(ApiError::new(Code::BadItem, "the file has no lines"));
        };
        let digests: Vec<[u8; 16]> = self
            .chunk_digests
            .iter()
            .map(|digest| digest.to_le_bytes())
            .collect();
        let parts: Vec<&[u8]> = digests.iter().map(<[u8; 16]>::as_slice).collect();
        let upload = Upload {
            file: id::File {
                shard,
                hash: hash::hash_parts(&parts),
            },
            customer: self.customer,
            chunks: self.chunks,
            bytes: self.total_bytes,
            model,
            endpoint,
            at_ms: unix_time_ms(),
            keep_ms: self.keep_ms,
        };
        shards::append_record(self.core, shard, Record::File(Box::new(upload.clone()))).await?;
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

/// Looks up a file of the customer by its id.
///
/// # Errors
///
/// [`Code::NotFound`] if there is none or another customer owns it.
pub(super) async fn find(core: &Core, customer: &Name, id: &str) -> Result<Upload> {
    let missing = || ApiError::new(Code::NotFound, format!("no file `{id}`"));
    let file = id.parse::<id::File>().map_err(|_| missing())?;
    let upload = shards::find_file(core, file).await?;
    upload
        .filter(|upload| upload.customer == *customer)
        .ok_or_else(missing)
}

/// Returns a file's metadata.
pub(super) async fn show(core: &Core, request: &Request, id: &str) -> Result<Response> {
    let customer = customer(core, request)?;
    Ok(server::json(200, &view(&find(core, &customer, id).await?)))
}

/// Streams the output file of a job, one log entry at a time.
pub(super) async fn content(core: &Arc<Core>, request: &Request, id: &str) -> Result<Response> {
    let customer = customer(core, request)?;
    let job = id.strip_prefix(batches::OUTPUT_PREFIX).unwrap_or(id);
    let job = batches::find(core, &customer, job).await?;
    let id = job.submit.job;
    let core = Arc::clone(core);
    let offsets = job.results.into_iter();
    let (sender, receiver) = async_channel::bounded(2);
    let runtime = core.runtime.clone();
    let task = async move {
        for offset in offsets {
            // On an error the response body is aborted, which shows the caller that the
            // output is incomplete.
            let answers = shards::read_results(&core, id, offset).await;
            let text = answers
                .map(|answers| output_lines(id, answers))
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

fn output_lines(job: id::Job, answers: Vec<(id::Item, Answer)>) -> Vec<u8> {
    let lines = answers
        .into_iter()
        .map(|(item, answer)| batches::output_line(job, item, answer));
    lines.collect::<String>().into_bytes()
}
