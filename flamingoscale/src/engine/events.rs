//! An incremental parser for server-sent events.

use bytes::{
    Buf,
    BytesMut, //
};

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    buffer: BytesMut,
}

impl EventParser {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event that has data, or `None` if more bytes are
    /// needed.
    pub(crate) fn next(&mut self) -> Result<Option<String>, EventTooLong> {
        loop {
            let Some((end, separator_len)) = find_end(&self.buffer) else {
                let is_too_long = self.buffer.len() > MAX_EVENT_BYTES;
                return if is_too_long {
                    Err(EventTooLong)
                } else {
                    Ok(None)
                };
            };
            let event = self.buffer.split_to(end);
            self.buffer.advance(separator_len);
            if let Some(data) = event_data(&event) {
                return Ok(Some(data));
            }
        }
    }
}

/// Returns the position and the length of the separator after the first event.
fn find_end(bytes: &[u8]) -> Option<(usize, usize)> {
    let lf = bytes.windows(2).position(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some((crlf, 4)),
        (Some(lf), _) => Some((lf, 2)),
        (None, Some(crlf)) => Some((crlf, 4)),
        (None, None) => None,
    }
}

fn event_data(event: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(event);
    let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let data: Vec<&str> = lines
        .map(|line| line.strip_prefix(' ').unwrap_or(line))
        .collect();
    (!data.is_empty()).then(|| data.join("\n"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_split() {
        let stream =
            b": note\n\ndata: one\n\ndata: two\r\ndata:three\r\n\r\nevent: x\ndata: [DONE]\n\n";
        for cut in 0..stream.len() {
            let mut parser = EventParser::default();
            let mut events = Vec::new();
            for piece in [&stream[..cut], &stream[cut..]] {
                parser.push(piece);
                while let Ok(Some(event)) = parser.next() {
                    events.push(event);
                }
            }
            assert_eq!(events, ["one", "two\nthree", "[DONE]"], "cut at {cut}");
        }
    }

    #[test]
    fn an_event_over_the_size_limit_is_an_error() {
        let mut parser = EventParser::default();
        parser.push(&vec![b'a'; MAX_EVENT_BYTES + 1]);
        assert_eq!(parser.next(), Err(EventTooLong));
    }
}
