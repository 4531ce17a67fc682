//! Generated messages as base64 text, the form in which JSON carries them.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use prost::Message;

/// Returns `message` as base64 of its protobuf form.
pub fn encode<M: Message>(message: &M) -> String {
    STANDARD.encode(message.encode_to_vec())
}

/// Reads a message back.
///
/// # Errors
/// Fails on text that is not base64 and on bytes that are not this message.
pub fn decode<M: Message + Default>(text: &str) -> anyhow::Result<M> {
    let bytes = STANDARD.decode(text)?;
    Ok(M::decode(bytes.as_slice())?)
}
