//! Frames on a TCP connection: big-endian length, protocol version, postcard body.

use std::{fmt, io};

use serde::{Serialize, de};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Version of the protocol between entries and agents.
pub const VERSION: u8 = 1;
/// Maximum length of a frame on an authenticated connection, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length of a frame from a peer that is not authenticated yet, in bytes.
pub const MAX_HELLO_BYTES: usize = 1024;

// Size of the length field, which does not count itself.
const LENGTH_BYTES: usize = 4;

/// Error in reading a frame.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed or was closed.
    Io(io::Error),
    /// The frame has this length in bytes, which is above the limit.
    TooLong(usize),
    /// The peer uses this other protocol version.
    Version(u8),
    /// The body is not the expected message.
    Malformed(postcard::Error),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Io(err) => write!(f, "connection failed: {err}; the entry reconnects"),
            FrameError::TooLong(bytes) => {
                write!(f, "frame of {bytes} bytes is too long; check that the peer is rhubarbloom")
            }
            FrameError::Version(version) => {
                write!(f, "protocol version {version} instead of {VERSION}; upgrade the older peer")
            }
            FrameError::Malformed(err) => {
                write!(f, "malformed frame: {err}; check that both peers are the same release")
            }
        }
    }
}

impl std::error::Error for FrameError {}

impl From<io::Error> for FrameError {
    fn from(err: io::Error) -> FrameError {
        FrameError::Io(err)
    }
}

/// Encodes `message` with its length and version.
pub fn encode<M: Serialize>(message: &M) -> Vec<u8> {
    let mut frame = vec![0; LENGTH_BYTES];
    frame.push(VERSION);
    let mut frame = postcard::to_extend(message, frame).expect("messages can be encoded");
    let length = (frame.len() - LENGTH_BYTES) as u32;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    frame
}

/// Decodes the part of a frame that follows its length.
///
/// # Errors
/// Returns an error for another protocol version and for a body that is not an `M`.
pub fn decode<M: de::DeserializeOwned>(body: &[u8]) -> Result<M, FrameError> {
    match body.split_first() {
        Some((&VERSION, rest)) => postcard::from_bytes(rest).map_err(FrameError::Malformed),
        Some((version, _)) => Err(FrameError::Version(*version)),
        None => Err(FrameError::Malformed(postcard::Error::DeserializeUnexpectedEnd)),
    }
}

/// Reads one message from a frame of at most `limit` bytes.
///
/// # Errors
/// Returns an error if the connection fails or is closed, and for a frame that is too long, has
/// another protocol version or is malformed.
pub async fn read<M, R>(reader: &mut R, limit: usize) -> Result<M, FrameError>
where
    M: de::DeserializeOwned,
    R: tokio::io::AsyncRead + Unpin,
{
    let length = reader.read_u32().await? as usize;
    if length > limit {
        return Err(FrameError::TooLong(length));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    decode(&body)
}

/// Writes one message as a frame.
///
/// # Errors
/// Returns an error if the connection fails.
pub async fn write<M, W>(writer: &mut W, message: &M) -> Result<(), FrameError>
where
    M: Serialize,
    W: tokio::io::AsyncWrite + Unpin,
{
    writer.write_all(&encode(message)).await?;
    Ok(())
}
