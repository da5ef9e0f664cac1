//! The little of HTTP/1.1 that the stand-ins need, over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were received and not yet used.
pub struct Connection {
    pub stream: TcpStream,
    pub received: Vec<u8>,
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// As its framing says.
    Complete,
    /// Before that.
    Broken,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            received: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, patience)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes. Returns how many.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 64 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.received.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the peer closes before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self
                .received
                .windows(4)
                .position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.received[..end]).into_owned();
                self.received.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                return Ok(Some(Head {
                    first,
                    headers: headers.collect(),
                }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a body of this many bytes.
    pub fn read_sized(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.received.len() < size {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.received.drain(..size).collect())
    }

    /// Reads the body of an answer by its framing, as far as it comes.
    pub fn read_body(&mut self, head: &Head) -> (Vec<u8>, End) {
        let mut body = Vec::new();
        if let Some(size) = head
            .header("content-length")
            .and_then(|size| size.parse().ok())
        {
            while self.received.len() < size {
                if !matches!(self.fill(), Ok(count) if count > 0) {
                    return (std::mem::take(&mut self.received), End::Broken);
                }
            }
            body.extend(self.received.drain(..size));
            return (body, End::Complete);
        }
        if head.header("transfer-encoding").is_none() {
            loop {
                match self.fill() {
                    Ok(0) => return (std::mem::take(&mut self.received), End::Complete),
                    Ok(_) => {}
                    Err(_) => return (std::mem::take(&mut self.received), End::Broken),
                }
            }
        }
        loop {
            let Ok(size) = self.read_line() else {
                return (body, End::Broken);
            };
            let size = size.split(';').next().unwrap_or_default().trim().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return (body, End::Broken);
            };
            let Ok(chunk) = self.read_sized(size + 2) else {
                return (body, End::Broken);
            };
            if size == 0 {
                return (body, End::Complete);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.received.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.received[..end]).into_owned();
                self.received.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a request with its body; `None` if the peer closes before one.
    pub fn read_request(&mut self) -> io::Result<Option<(Head, Vec<u8>)>> {
        let Some(head) = self.read_head()? else {
            return Ok(None);
        };
        let size = head
            .header("content-length")
            .and_then(|size| size.parse().ok());
        let body = match size {
            Some(size) => self.read_sized(size)?,
            None if head.header("transfer-encoding").is_some() => self.read_body(&head).0,
            None => Vec::new(),
        };
        Ok(Some((head, body)))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a length.
    pub fn answer(
        &mut self,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}
