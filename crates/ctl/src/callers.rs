//! Commands over the callers' API.

use bitterncart_protocol::api::Batch;
use bitterncart_transport::http::{Client, Method};
use serde_json::{Value, json};

use crate::args::{Job, JobAction, Submit};
use crate::error::Error;
use crate::operators::print;

pub(crate) async fn job(job: &Job, as_json: bool) -> Result<(), Error> {
    match &job.action {
        JobAction::Submit(args) => submit(job, args, as_json).await,
        JobAction::Status(args) => {
            let path = format!("/v1/batches/{}", args.id);
            show(
                &send(job, Method::Get, &path, None, Vec::new()).await?,
                as_json,
            )
        }
        JobAction::Cancel(args) => {
            let path = format!("/v1/batches/{}/cancel", args.id);
            show(
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
    let input =
        std::fs::read(&args.file).map_err(|e| Error::File(args.file.display().to_string(), e))?;
    let file = send(job, Method::Post, "/v1/files", None, input).await?;
    let file: Value = serde_json::from_slice(&file).map_err(|_| Error::Answer(200))?;
    let mut create = json!({"input_file_id": file["id"], "endpoint": args.endpoint});
    if let Some(window) = &args.window {
        create["completion_window"] = json!(window);
    }
    let key = args.idempotency_key.as_deref();
    let body = create.to_string().into_bytes();
    show(
        &send(job, Method::Post, "/v1/batches", key, body).await?,
        as_json,
    )
}

fn show(bytes: &[u8], as_json: bool) -> Result<(), Error> {
    let batch: Batch = serde_json::from_slice(bytes).map_err(|_| Error::Answer(200))?;
    print(as_json, &batch, || {
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
    key: Option<&str>,
    body: Vec<u8>,
) -> Result<Vec<u8>, Error> {
    let client = Client::default();
    let mut request = Client::request(method, job.daemon, path)?;
    request.insert_header("Authorization", format!("Bearer {}", job.key));
    if let Some(key) = key {
        request.insert_header("Idempotency-Key", key);
    }
    request.set_body(body);
    let mut response = client.send(job.daemon, request).await?;
    let bytes = client.bytes(&mut response).await?;
    let status = response.status().into();
    if status == 200 {
        Ok(bytes)
    } else {
        Err(Error::of_answer(status, &bytes))
    }
}
