//! Minimal HTTP/1.1 for the stand-ins: messages with a length, in chunks, or up to the end.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Path of the target without the query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn broken(detail: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, detail.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(broken("the connection ended within a line"));
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// Reads the start line and the header fields; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("the head is incomplete"))?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header field"))?;
        message
            .headers
            .push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body into `message`. `is_answer`: without a length the body ends with the connection.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_answer: bool,
) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let line = read_line(reader)?.ok_or_else(|| broken("a chunk is missing"))?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| broken("no chunk size"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            let end = read_line(reader)?.ok_or_else(|| broken("a chunk has no end"))?;
            if !end.is_empty() {
                return Err(broken("a chunk has no end"));
            }
            if size == 0 {
                return Ok(());
            }
        }
    }
    if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| broken("no length"))?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    } else if is_answer {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn respond(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a caller got for a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// 0 without an answer.
    pub status: u16,
    pub message: Message,
    /// Whether the whole body arrived.
    pub is_complete: bool,
}

/// Sends one request on a connection of its own and reads the answer.
pub fn send(address: SocketAddr, request: &str, timeout: Duration) -> Outcome {
    let mut outcome = Outcome {
        status: 0,
        message: Message::default(),
        is_complete: false,
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return outcome;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    if stream.write_all(request.as_bytes()).is_err() {
        return outcome;
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some(mut message)) = read_head(&mut reader) else {
        return outcome;
    };
    let status = message.start.split(' ').nth(1).unwrap_or("0");
    outcome.status = status.parse().unwrap_or(0);
    outcome.is_complete = read_body(&mut reader, &mut message, true).is_ok();
    outcome.message = message;
    outcome
}
