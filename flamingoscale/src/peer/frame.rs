//! Frames on a stream: a length of four bytes, then one `bincode` message.

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

/// Largest message that is written or read.
pub(crate) const FRAME_LIMIT_BYTES: usize = 8 << 20;

/// Bytes of the length in front of each message.
const LENGTH_BYTES: usize = 4;

/// Why a frame could not be written or read.
#[derive(Debug, Display, Error)]
pub(crate) enum FrameError {
    /// The message is over the limit.
    #[display("a message over {FRAME_LIMIT_BYTES} bytes: split it")]
    TooLarge,
    /// The bytes are no message of this build.
    #[display("bytes that are no message of this build: check the peer's build")]
    Garbage,
    /// The stream or its connection broke.
    #[display("the stream broke ({_0}): try again")]
    Broken(#[error(not(source))] h2::Error),
}

/// Encodes one message with its length.
///
/// # Errors
///
/// [`FrameError::TooLarge`] when it is over the limit.
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

/// Decodes the body of a frame.
fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<FRAME_LIMIT_BYTES>();
    match bincode::serde::decode_from_slice(body, config) {
        Ok((message, used)) if used == body.len() => Ok(message),
        _ => Err(FrameError::Garbage),
    }
}

/// Takes the first whole message out of `buffer`, if there is one.
///
/// # Errors
///
/// [`FrameError::Garbage`] as soon as the bytes can't become a message.
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
    /// Reads from `stream`.
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the next message, or nothing when the stream ended between two.
    ///
    /// # Errors
    ///
    /// [`FrameError::Garbage`] for bytes that are no message, [`FrameError::Broken`] when the
    /// stream broke.
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
    fn frames_come_out_whole_however_they_were_cut() {
        let bytes = [encode(&"one").unwrap(), encode(&"two").unwrap()].concat();
        let mut buffer = BytesMut::new();
        let mut seen: Vec<String> = Vec::new();
        for byte in bytes {
            buffer.put_u8(byte);
            seen.extend(split_off::<String>(&mut buffer).unwrap());
        }
        assert_eq!(seen, ["one", "two"]);
        assert!(buffer.is_empty());
    }

    #[test]
    fn a_length_over_the_limit_is_garbage_at_once() {
        let mut buffer = BytesMut::from(&[0xff_u8; LENGTH_BYTES][..]);
        let result = split_off::<String>(&mut buffer);
        assert!(matches!(result, Err(FrameError::Garbage)));
    }

    #[test]
    fn bytes_behind_the_message_are_garbage() {
        let mut buffer = BytesMut::from(&[0_u8, 0, 0, 3, 1, b'a', b'b'][..]);
        let result = split_off::<String>(&mut buffer);
        assert!(matches!(result, Err(FrameError::Garbage)));
    }
}
