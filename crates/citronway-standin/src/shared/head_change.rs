//! Answers whose head is changed on the way.

/// End of a head.
const HEAD_END: &str = "\r\n\r\n";

/// Stands for the length of the body in lines of framing.
const LENGTH: &str = "LENGTH";

/// A change of the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadChange {
    /// Another status line.
    StatusLine(&'static str),
    /// Lines in place of that of the length; `LENGTH` in them is the length of the body.
    Framing(&'static str),
    /// The same before the body in chunks.
    Chunked(&'static str),
    /// One more line.
    Line(&'static [u8]),
}

impl HeadChange {
    /// Changes after which the bytes are no answer that may reach a caller.
    pub const BROKEN: [Self; 45] = [
        Self::Chunked("transfer-encoding: chunkd"),
        Self::Chunked("transfer-encoding:"),
        Self::Chunked("transfer-encoding: chunked, gzip"),
        Self::Chunked("transfer-encoding: gzip, chunked"),
        Self::Chunked("transfer-encoding: chunked, chunked"),
        Self::Chunked("transfer-encoding: chunked;q=1"),
        Self::Chunked("transfer-encoding: chun\tked"),
        Self::Chunked("transfer-encoding: chunked\r\ntransfer-encoding: chunked"),
        Self::Chunked("transfer-encoding: gzip\r\ntransfer-encoding: chunked"),
        Self::Chunked("transfer-encoding: chunked\r\ncontent-length: LENGTH"),
        Self::Chunked("content-length: LENGTH\r\ntransfer-encoding: chunked"),
        Self::Framing("transfer-encoding: identity"),
        Self::Framing("transfer-encoding: identity\r\ncontent-length: LENGTH"),
        Self::Framing("content-length: LENGTH, LENGTH"),
        Self::Framing("content-length: LENGTH\r\ncontent-length: LENGTH"),
        Self::Framing("content-length: LENGTH\r\ncontent-length: 1"),
        Self::Framing("content-length: +LENGTH"),
        Self::Framing("content-length: -LENGTH"),
        Self::Framing("content-length: 0xLENGTH"),
        Self::Framing("content-length: LENGTH bytes"),
        Self::Framing("content-length:"),
        Self::Framing("content-length: 18446744073709551616"),
        Self::Framing("content-length LENGTH"),
        Self::Framing("content-length : LENGTH"),
        Self::StatusLine("HTTP/1.1 000 OK"),
        Self::StatusLine("HTTP/1.1 099 OK"),
        Self::StatusLine("HTTP/1.1 20 OK"),
        Self::StatusLine("HTTP/1.1 2000 OK"),
        Self::StatusLine("HTTP/1.1 101 Switching Protocols"),
        Self::StatusLine("HTTP/1.1 600 OK"),
        Self::StatusLine("HTTP/1.1 999 OK"),
        Self::StatusLine("HTTP/2.0 200 OK"),
        Self::StatusLine("200 OK"),
        Self::Line(b"a line that is no field"),
        Self::Line(b": no name"),
        Self::Line(b" a continued line"),
        Self::Line(b"blank in-name: 1"),
        Self::Line(b"tab\tin-name: 1"),
        Self::Line(b"blank-behind-name : 1"),
        Self::Line(b"control\x01in-name: 1"),
        Self::Line(b"nul\0in-name: 1"),
        Self::Line(b"delete\x7fin-name: 1"),
        Self::Line(b"above-ascii\xc3\xa4: 1"),
        Self::Line(b"nul-in-value: \0"),
        Self::Line(b"return-in-value: 1\r2"),
    ];

    /// Changes an answer that states its length.
    #[must_use]
    pub fn apply(self, answer: &[u8]) -> Vec<u8> {
        let end = answer
            .windows(HEAD_END.len())
            .position(|bytes| bytes == HEAD_END.as_bytes());
        let end = end.unwrap_or(answer.len());
        let head = String::from_utf8_lossy(&answer[..end]).into_owned();
        let body = answer.get(end + HEAD_END.len()..).unwrap_or_default();
        let mut lines: Vec<_> = head
            .split("\r\n")
            .map(|line| line.as_bytes().to_vec())
            .collect();
        match self {
            Self::StatusLine(line) => lines[0] = line.as_bytes().to_vec(),
            Self::Framing(framing) | Self::Chunked(framing) => {
                lines.retain(|line| !line.to_ascii_lowercase().starts_with(b"content-length"));
                lines.push(
                    framing
                        .replace(LENGTH, &body.len().to_string())
                        .into_bytes(),
                );
            }
            Self::Line(line) => lines.insert(1, line.to_vec()),
        }
        let mut bytes = lines.join(&b"\r\n"[..]);
        bytes.extend_from_slice(HEAD_END.as_bytes());
        match self {
            Self::Chunked(_) => bytes.extend_from_slice(&in_chunks(body)),
            Self::StatusLine(_) | Self::Framing(_) | Self::Line(_) => bytes.extend_from_slice(body),
        }
        bytes
    }
}

/// A body in two chunks and the last one.
fn in_chunks(body: &[u8]) -> Vec<u8> {
    let (first, second) = body.split_at(body.len() / 2);
    let mut bytes = Vec::new();
    for chunk in [first, second] {
        if chunk.is_empty() {
            continue;
        }
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}
