//! HTTP/1.1 for stand-ins: blocking, with the standard library alone.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first.first().map_or("", String::as_str)
    }

    /// Path of a request, without its query.
    pub fn path(&self) -> &str {
        let target = self.first.get(1).map_or("", String::as_str);
        target.split('?').next().unwrap_or("")
    }

    /// Parameter of the query of a request.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let target = self.first.get(1)?;
        let query = target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, value)| unescape(value))
    }

    /// Status of a response; 0 if it is none.
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut plain, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[at], code.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                plain.push(byte);
                at += 3;
            }
            (b'+', _) => {
                plain.push(b' ');
                at += 1;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        first: line.split_whitespace().map(str::to_owned).collect(),
        ..Message::default()
    };
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
            None => return Ok(Some(message)),
        }
    }
}

/// Reads the body that a head announces.
pub fn read_body(reader: &mut impl BufRead, head: &Message, is_response: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let codings = head.header("transfer-encoding").unwrap_or("");
    if codings.to_ascii_lowercase().contains("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            reader.read_line(&mut line)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match head.header("content-length").and_then(|n| n.parse::<usize>().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if is_response => drop(reader.read_to_end(&mut body)?),
        None => {}
    }
    Ok(body)
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut request) = read_head(reader)? else {
        return Ok(None);
    };
    request.body = read_body(reader, &request, false)?;
    Ok(Some(request))
}

/// Bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} .\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Bytes of a request with a length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Makes one call on a new connection.
pub fn call(to: SocketAddr, bytes: &[u8], timeout: Duration) -> io::Result<Message> {
    let until = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.set_write_timeout(Some(left.max(Duration::from_millis(1))))?;
    (&stream).write_all(bytes)?;
    let mut reader = BufReader::new(&stream);
    loop {
        let head = read_head(&mut reader)?;
        let mut head = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        if head.status() == 100 {
            continue;
        }
        head.body = read_body(&mut reader, &head, true)?;
        return Ok(head);
    }
}
