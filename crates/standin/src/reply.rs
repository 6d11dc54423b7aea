//! Response helpers of the stand-ins.

use bitterncart_transport::http::{Response, StatusCode, server};
use serde::Serialize;

/// JSON response with status 200.
#[must_use]
pub fn json<T: Serialize>(value: &T) -> Response {
    server::json(200, value)
}

/// Text response with a status.
#[must_use]
pub fn text(status: StatusCode, text: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(text);
    response
}

/// Empty response with status 404.
#[must_use]
pub fn not_found() -> Response {
    Response::new(StatusCode::NotFound)
}
