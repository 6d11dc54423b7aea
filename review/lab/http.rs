//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head and body of a request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Decoded parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.into_iter().find(|(key, _)| *key == name)?.1;
        Some(decode_parameter(value))
    }
}

fn decode_parameter(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .map(|hex| u8::from_str_radix(hex, 16));
        match (bytes[at], hex) {
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

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// First line and headers; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
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
        let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
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
    let length = request
        .header("content-length")
        .and_then(|n| n.parse().ok());
    if let Some(length) = length {
        request.body.resize(length, 0);
        reader.read_exact(&mut request.body)?;
    } else if request.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        read_chunks(reader, &mut body)?;
        request.body = body;
    }
    Ok(Some(request))
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut message = format!("HTTP/1.1 {status} -\r\n").into_bytes();
    for (name, value) in headers {
        message.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    message.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    message.extend_from_slice(body);
    stream.write_all(&message)
}

/// One chunk of a body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Response as a client received it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Sends a request on a new connection and reads the response within `timeout`.
pub fn call(address: SocketAddr, request: &Request, timeout: Duration) -> io::Result<Response> {
    let until = Instant::now() + timeout;
    let mut channel = Channel::open(address, Duration::from_secs(1).min(timeout))?;
    channel.exchange(request, until.saturating_duration_since(Instant::now()))
}

/// Connection of a client.
pub struct Channel(BufReader<TcpStream>);

impl Channel {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Self(BufReader::new(stream)))
    }

    /// Sends a request and reads the response; each read takes `timeout` at most.
    pub fn exchange(&mut self, request: &Request, timeout: Duration) -> io::Result<Response> {
        let timeout = timeout.max(Duration::from_millis(1));
        let mut message =
            format!("{} {} HTTP/1.1\r\n", request.method, request.target).into_bytes();
        for (name, value) in &request.headers {
            message.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        let length = request.body.len();
        message.extend_from_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes());
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
        let length = response
            .header("content-length")
            .and_then(|n| n.parse::<usize>().ok());
        let mut body = Vec::new();
        let read = if let Some(length) = length {
            body.resize(length, 0);
            reader.read_exact(&mut body)
        } else if response.header("transfer-encoding").is_some() {
            read_chunks(reader, &mut body)
        } else {
            reader.read_to_end(&mut body).map(drop)
        };
        response.is_complete = read.is_ok();
        response.body = body;
        Ok(response)
    }
}
