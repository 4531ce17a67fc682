//! Encoding of protobuf messages as base64 text, for use in JSON.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use prost::Message;

/// Encodes `message` as protobuf and then base64.
pub fn encode<M: Message>(message: &M) -> String {
    STANDARD.encode(message.encode_to_vec())
}

/// Decodes a message from base64 text.
///
/// # Errors
/// Fails if the text is not valid base64, or the bytes are not a valid message of this type.
pub fn decode<M: Message + Default>(text: &str) -> anyhow::Result<M> {
    let bytes = STANDARD.decode(text)?;
    Ok(M::decode(bytes.as_slice())?)
}
