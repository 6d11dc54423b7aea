//! `job` commands, which use the callers' API of a daemon.
//!
//! A job is submitted in two requests: the input file is uploaded first, and
//! then a batch is created for it. Each command authenticates with the
//! customer's API key. Results are printed as received; all other responses
//! are printed as a summary line or as JSON.

use bitterncart_protocol::api::Batch;
use bitterncart_transport::http::{Client, Method};
use serde_json::{Value, json};

use crate::admin::print_value;
use crate::args::{Job, JobAction, Submit};
use crate::error::Error;

pub(crate) async fn run(job: &Job, as_json: bool) -> Result<(), Error> {
    match &job.action {
        JobAction::Submit(args) => submit(job, args, as_json).await,
        JobAction::Status(args) => {
            let path = format!("/v1/batches/{}", args.id);
            print_batch(
                &send(job, Method::Get, &path, None, Vec::new()).await?,
                as_json,
            )
        }
        JobAction::Cancel(args) => {
            let path = format!("/v1/batches/{}/cancel", args.id);
            print_batch(
                &send(job, Method::Post, &path, None, Vec::new()).await?,
                as_json,
            )
        }
        JobAction::Results(args) => {
            let path = format!("/v1/files/output-{}/content", args.id);
            let bytes = send(job, Method::Get, &path, None, Vec::new()).await?;
            print!("{}", String::from_utf8_lossy(&bytes));
            Ok(())
        }
    }
}

async fn submit(job: &Job, args: &Submit, as_json: bool) -> Result<(), Error> {
    let input = std::fs::read(&args.file)
        .map_err(|e| Error::ReadFile(args.file.display().to_string(), e))?;
    let file = send(job, Method::Post, "/v1/files", None, input).await?;
    let file: Value = serde_json::from_slice(&file).map_err(|_| Error::UnexpectedResponse(200))?;
    let mut batch = json!({"input_file_id": file["id"], "endpoint": args.endpoint});
    if let Some(window) = &args.window {
        batch["completion_window"] = json!(window);
    }
    let idempotency_key = args.idempotency_key.as_deref();
    let body = batch.to_string().into_bytes();
    print_batch(
        &send(job, Method::Post, "/v1/batches", idempotency_key, body).await?,
        as_json,
    )
}

fn print_batch(bytes: &[u8], as_json: bool) -> Result<(), Error> {
    let batch: Batch = serde_json::from_slice(bytes).map_err(|_| Error::UnexpectedResponse(200))?;
    print_value(as_json, &batch, || {
        let counts = batch.request_counts;
        format!(
            "{} {}: {} of {} items finished, {} failed",
            batch.id, batch.status, counts.completed, counts.total, counts.failed
        )
    });
    Ok(())
}

async fn send(
    job: &Job,
    method: Method,
    path: &str,
    idempotency_key: Option<&str>,
    body: Vec<u8>,
) -> Result<Vec<u8>, Error> {
    let client = Client::default();
    let mut request = Client::request(method, job.daemon, path)?;
    request.insert_header("Authorization", format!("Bearer {}", job.key));
    if let Some(key) = idempotency_key {
        request.insert_header("Idempotency-Key", key);
    }
    request.set_body(body);
    let mut response = client.send(job.daemon, request).await?;
    let bytes = client.read_body(&mut response).await?;
    let status = response.status().into();
    if status == 200 {
        Ok(bytes)
    } else {
        Err(Error::from_response(status, &bytes))
    }
}
