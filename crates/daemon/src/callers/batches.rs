//! Batch jobs: creation, status, cancellation and lines of the output file.
//!
//! A job's id is derived from the customer and the idempotency key or, without a key,
//! from the customer, the input file and the endpoint. A repeated submission therefore
//! addresses the same job, and the submission that is first in the log takes effect.

use std::sync::Arc;

use bitterncart_protocol::peer::Progress;
use bitterncart_protocol::record::{Answer, Record, Submit};
use bitterncart_protocol::{Code, Name, api, id};
use bitterncart_transport::http::{Request, Response, server};
use bitterncart_transport::runtime::unix_time_ms;
use serde_json::Value;

use super::permit::Permit;
use super::{ApiError, Result, body, customer, files, idempotency_key};
use crate::core::Core;
use crate::shards;

/// Prefix of an output file's id; the job's id follows.
pub(super) const OUTPUT_PREFIX: &str = "output-";

/// Maximum completion window, in seconds.
const MAX_WINDOW_S: u64 = 30 * 24 * 3600;

/// Creates a job, or returns the existing one if it was submitted before.
pub(super) async fn create(core: &Arc<Core>, request: &mut Request) -> Result<Response> {
    let customer = customer(core, request)?;
    let document = core.document()?;
    let key = idempotency_key(request)?;
    let bytes = body(request).await?;
    let _permit = Permit::admit(core, &customer)?;
    let create: api::CreateBatch = serde_json::from_slice(&bytes)
        .map_err(|e| ApiError::new(Code::MalformedJson, e.to_string()))?;
    let upload = files::find(core, &customer, &create.input_file_id).await?;
    if upload.endpoint != create.endpoint {
        let message = format!("the lines of the file name `{}`", upload.endpoint);
        return Err(ApiError::new(Code::MalformedJson, message));
    }
    let model = document
        .model(upload.model.as_str())
        .and_then(|model| model.batch.as_ref());
    let batch = model.ok_or(Code::NotBatchModel)?;
    let window_s = match &create.completion_window {
        Some(window) => parse_window_s(window)?,
        None => batch.due_s,
    };
    let job = match key {
        Some(key) => id::Job::from_idempotency_key(customer.as_str(), &key, document.log.shards),
        None => id::Job::from_content(customer.as_str(), upload.file, &create.endpoint),
    };
    let now = unix_time_ms();
    let submit = Submit {
        job,
        customer,
        model: upload.model,
        endpoint: upload.endpoint,
        file: upload.file,
        chunks: upload.chunks,
        due_ms: now + window_s * 1000,
        keep_ms: document.log.results_s * 1000,
        at_ms: now,
    };
    shards::append_record(core, job.shard, Record::Submit(Box::new(submit.clone()))).await?;
    // If the job was submitted before, the first submission takes effect, so the
    // response shows that one.
    let stored = shards::find_job(core, job).await.ok().flatten();
    Ok(server::json(
        200,
        &view(&stored.unwrap_or_else(|| new_job(submit))),
    ))
}

/// Job whose submission has been appended but could not be read back.
fn new_job(submit: Submit) -> Progress {
    Progress {
        submit,
        finished: 0,
        failed: 0,
        cancelled_ms: None,
        ended_ms: None,
        results: Vec::new(),
    }
}

/// Parses a completion window such as `24h`, `30m` or `90s` into seconds.
fn parse_window_s(window: &str) -> Result<u64> {
    let invalid = || {
        ApiError::new(
            Code::MalformedJson,
            "`completion_window` is a time such as 24h, 30m or 90s",
        )
    };
    let unit = window.chars().last().ok_or_else(invalid)?;
    let factor = match unit {
        's' => 1,
        'm' => 60,
        'h' => 3600,
        _ => return Err(invalid()),
    };
    let number = window[..window.len() - 1]
        .parse::<u64>()
        .map_err(|_| invalid())?;
    let seconds = number.saturating_mul(factor);
    if (1..=MAX_WINDOW_S).contains(&seconds) {
        Ok(seconds)
    } else {
        Err(invalid())
    }
}

/// Looks up a job of the customer by its id.
///
/// # Errors
///
/// [`Code::NotFound`] if there is none or another customer owns it.
pub(super) async fn find(core: &Core, customer: &Name, id: &str) -> Result<Progress> {
    let missing = || ApiError::new(Code::NotFound, format!("no job `{id}`"));
    let job = id.parse::<id::Job>().map_err(|_| missing())?;
    let summary = shards::find_job(core, job).await?;
    summary
        .filter(|summary| summary.submit.customer == *customer)
        .ok_or_else(missing)
}

/// Returns a job.
pub(super) async fn show(core: &Core, request: &Request, id: &str) -> Result<Response> {
    let customer = customer(core, request)?;
    Ok(server::json(200, &view(&find(core, &customer, id).await?)))
}

/// Cancels a job.
///
/// # Errors
///
/// [`Code::JobTerminal`] if the job has already completed.
pub(super) async fn cancel(core: &Core, request: &Request, id: &str) -> Result<Response> {
    let customer = customer(core, request)?;
    let mut job = find(core, &customer, id).await?;
    if job.ended_ms.is_some() && job.cancelled_ms.is_none() {
        return Err(ApiError::from(Code::JobTerminal));
    }
    let id = job.submit.job;
    shards::append_record(
        core,
        id.shard,
        Record::Cancel {
            job: id,
            at_ms: unix_time_ms(),
        },
    )
    .await?;
    if let Ok(Some(stored)) = shards::find_job(core, id).await {
        job = stored;
    }
    Ok(server::json(200, &view(&job)))
}

fn view(job: &Progress) -> api::Batch {
    let submit = &job.submit;
    let status = match (job.cancelled_ms, job.ended_ms) {
        (Some(_), _) => "cancelled",
        (None, Some(_)) => "completed",
        (None, None) => "in_progress",
    };
    api::Batch {
        id: submit.job.to_string().into(),
        object: "batch".into(),
        endpoint: submit.endpoint.clone(),
        input_file_id: submit.file.to_string().into(),
        output_file_id: format!("{OUTPUT_PREFIX}{}", submit.job).into(),
        status: status.into(),
        created_at: submit.at_ms / 1000,
        expires_at: submit.due_ms / 1000,
        request_counts: api::Counts {
            total: submit.items(),
            completed: job.finished,
            failed: job.failed,
        },
    }
}

/// Line of the output file with the result of one item.
pub(super) fn output_line(job: id::Job, item: id::Item, answer: Answer) -> String {
    let error = answer
        .code
        .map(|code| api::Failure::new(code, answer.body.clone()).error);
    let body = serde_json::from_str(&answer.body).unwrap_or(Value::String(answer.body));
    let response = answer.code.is_none().then_some(api::Response {
        status_code: answer.status,
        body,
    });
    let line = api::ResultLine {
        id: format!("{job}-{}", item.0).into(),
        custom_id: answer.custom_id,
        response,
        error,
    };
    let mut text = serde_json::to_string(&line).unwrap_or_default();
    text.push('\n');
    text
}
