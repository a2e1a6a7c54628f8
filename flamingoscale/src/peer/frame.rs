//! Message framing on a stream: a length of four bytes, followed by one `bincode` message.

use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
};
use derive_more::{
    Display,
    Error, //
};
use h2::RecvStream;
use serde::{
    de::DeserializeOwned,
    Serialize, //
};

/// The result of reading or writing a frame.
pub(crate) type Result<T> = std::result::Result<T, FrameError>;

/// Maximum size of an encoded message.
pub(crate) const FRAME_LIMIT_BYTES: usize = 8 << 20;

/// Size of the length prefix.
const LENGTH_BYTES: usize = 4;

/// Why a frame could not be written or read.
#[derive(Debug, Display, Error)]
pub(crate) enum FrameError {
    /// The encoded message exceeds [`FRAME_LIMIT_BYTES`].
    #[display("a message over {FRAME_LIMIT_BYTES} bytes: split it")]
    TooLarge,
    /// The bytes cannot be decoded as a message of this build.
    #[display("bytes that are no message of this build: check the peer's build")]
    Garbage,
    /// The stream or its connection failed.
    #[display("the stream broke ({_0}): try again")]
    Broken(#[error(not(source))] h2::Error),
}

/// Encodes one message with its length prefix.
///
/// # Errors
///
/// [`FrameError::TooLarge`] if the message exceeds the limit.
pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    let body = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(|_| FrameError::TooLarge)?;
    if body.len() > FRAME_LIMIT_BYTES {
        return Err(FrameError::TooLarge);
    }
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    bytes.put_u32(body.len() as u32);
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// Decodes the body of a frame, which must contain exactly one message.
fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<FRAME_LIMIT_BYTES>();
    match bincode::serde::decode_from_slice(body, config) {
        Ok((message, used)) if used == body.len() => Ok(message),
        _ => Err(FrameError::Garbage),
    }
}

/// Removes the first complete message from `buffer` and returns it, if there is one.
///
/// # Errors
///
/// [`FrameError::Garbage`] as soon as the bytes cannot become a valid message.
fn split_off<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>> {
    let Some(mut length) = buffer.get(..LENGTH_BYTES) else {
        return Ok(None);
    };
    let length = length.get_u32() as usize;
    if length > FRAME_LIMIT_BYTES {
        return Err(FrameError::Garbage);
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    decode(&body).map(Some)
}

/// Reads messages from one stream.
pub(crate) struct FrameReader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl FrameReader {
    /// Creates a reader of `stream`.
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the next message, or `None` if the stream ended on a message boundary.
    ///
    /// # Errors
    ///
    /// [`FrameError::Garbage`] for bytes that cannot be decoded, [`FrameError::Broken`] if the
    /// stream failed.
    pub(crate) async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(message) = split_off(&mut self.buffer)? {
                return Ok(Some(message));
            }
            match self.stream.data().await {
                Some(data) => self.push_data(&data.map_err(FrameError::Broken)?)?,
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(FrameError::Garbage),
            }
        }
    }

    fn push_data(&mut self, data: &Bytes) -> Result<()> {
        let flow = self.stream.flow_control();
        flow.release_capacity(data.len())
            .map_err(FrameError::Broken)?;
        self.buffer.extend_from_slice(data);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_are_reassembled_from_single_bytes() {
        let bytes = [encode(&"one").unwrap(), encode(&"two").unwrap()].concat();
        let mut buffer = BytesMut::new();
        let mut decoded: Vec<String> = Vec::new();
        for byte in bytes {
            buffer.put_u8(byte);
            decoded.extend(split_off::<String>(&mut buffer).unwrap());
        }
        assert_eq!(decoded, ["one", "two"]);
        assert!(buffer.is_empty());
    }

    #[test]
    fn a_length_over_the_limit_is_rejected_before_the_body_arrives() {
        let mut buffer = BytesMut::from(&[0xff_u8; LENGTH_BYTES][..]);
        let result = split_off::<String>(&mut buffer);
        assert!(matches!(result, Err(FrameError::Garbage)));
    }

    #[test]
    fn trailing_bytes_in_a_frame_are_rejected() {
        let mut buffer = BytesMut::from(&[0_u8, 0, 0, 3, 1, b'a', b'b'][..]);
        let result = split_off::<String>(&mut buffer);
        assert!(matches!(result, Err(FrameError::Garbage)));
    }
}
