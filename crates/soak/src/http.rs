//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Names and values of headers.
pub type Headers = Vec<(String, String)>;

/// Value of a header.
#[must_use]
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Headers of pairs.
#[must_use]
pub fn headers(pairs: &[(&str, &str)]) -> Headers {
    let owned = pairs.iter().map(|(name, value)| {
        let (name, value): (String, String) = ((*name).into(), (*value).into());
        (name, value)
    });
    owned.collect()
}

/// Head and body of a request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers, without the length.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// Value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Decoded parameter of the query.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name)?.1;
        Some(decode_parameter(value))
    }

    /// Decoded parameter that is a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }
}

fn decode_parameter(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match (bytes[at], hex.map(|hex| u8::from_str_radix(hex, 16))) {
            (b'%', Some(Ok(byte))) => {
                decoded.push(byte);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Response as a client received it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// The part of the body that arrived.
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Response {
    /// Value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// First line and headers; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Headers)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Headers::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        read_counted(reader, size, body)?;
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads `size` bytes; what arrived before an error is kept.
fn read_counted(reader: &mut impl BufRead, size: usize, body: &mut Vec<u8>) -> io::Result<()> {
    let count = reader.take(size as u64).read_to_end(body)?;
    match count == size {
        true => Ok(()),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Reads the next request of a connection; `None` at its end.
///
/// # Errors
///
/// If the connection breaks or ends inside a request.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let mut request = Request {
        method: words.next().unwrap_or_default().to_owned(),
        target: words.next().unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = request.header("content-length");
    let length = length.and_then(|length| length.parse().ok());
    let mut body = Vec::new();
    if let Some(length) = length {
        read_counted(reader, length, &mut body)?;
    } else if request.header("transfer-encoding").is_some() {
        read_chunks(reader, &mut body)?;
    }
    request.body = body;
    Ok(Some(request))
}

/// One chunk of a body; an empty one ends the body.
#[must_use]
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Message of a response with a length.
#[must_use]
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut message = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in headers {
        message += &format!("{name}: {value}\r\n");
    }
    message += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut message = message.into_bytes();
    message.extend_from_slice(body);
    message
}

/// Connection of a client.
#[derive(Debug)]
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    ///
    /// If the address refuses it or does not answer in time.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Self(BufReader::new(stream)))
    }

    /// Sends a request and reads the response; each read takes `timeout` at most.
    ///
    /// # Errors
    ///
    /// If no head of a response arrives.
    pub fn exchange(&mut self, request: &Request, timeout: Duration) -> io::Result<Response> {
        let mut message = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
        for (name, value) in &request.headers {
            message += &format!("{name}: {value}\r\n");
        }
        message += &format!("Content-Length: {}\r\n\r\n", request.body.len());
        let mut message = message.into_bytes();
        message.extend_from_slice(&request.body);
        let mut stream = self.0.get_ref();
        stream.set_read_timeout(Some(timeout))?;
        stream.write_all(&message)?;
        self.read_response()
    }

    fn read_response(&mut self) -> io::Result<Response> {
        let reader = &mut self.0;
        let (first, headers) = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = first.split(' ').nth(1).and_then(|n| n.parse().ok());
        let mut response = Response {
            status: status.unwrap_or(0),
            headers,
            ..Response::default()
        };
        let length = response.header("content-length");
        let length = length.and_then(|n| n.parse::<usize>().ok());
        let mut body = Vec::new();
        let read = if let Some(length) = length {
            read_counted(reader, length, &mut body)
        } else if response.header("transfer-encoding").is_some() {
            read_chunks(reader, &mut body)
        } else {
            reader.read_to_end(&mut body).map(drop)
        };
        response.is_complete = read.is_ok();
        response.body = body;
        Ok(response)
    }

    /// Whether bytes, or the end of the connection, wait without a request.
    #[must_use]
    pub fn has_stray_bytes(&self) -> bool {
        let stream = self.0.get_ref();
        let _ = stream.set_nonblocking(true);
        let peeked = stream.peek(&mut [0]);
        let _ = stream.set_nonblocking(false);
        matches!(peeked, Ok(1..)) || !self.0.buffer().is_empty()
    }
}

/// Sends a request on a new connection and reads the response within `timeout`.
///
/// # Errors
///
/// If no head of a response arrives.
pub fn call(address: SocketAddr, request: &Request, timeout: Duration) -> io::Result<Response> {
    Connection::open(address, timeout)?.exchange(request, timeout)
}
