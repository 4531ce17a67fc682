//! Encoding of protobuf messages as base64 text, for use in JSON.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use jsonrpsee::core::traits::ToRpcParams;
use prost::Message;
use serde_json::value::RawValue;

/// Encodes `message` as protobuf and then base64.
pub fn encode<M: Message>(message: &M) -> String {
    STANDARD.encode(message.encode_to_vec())
}

/// Parameters of a call: an array with one encoded message.
///
/// The JSON is written once, since a serializer would copy a large text several times.
pub(super) struct Payload(String);

impl Payload {
    /// Encodes a message.
    pub(super) fn new<M: Message>(message: &M) -> Payload {
        let bytes = message.encode_to_vec();
        // Two brackets, two quotes, and four characters for three bytes.
        let mut json = String::with_capacity(4 + bytes.len().div_ceil(3) * 4);
        json.push_str("[\"");
        STANDARD.encode_string(bytes, &mut json);
        json.push_str("\"]");
        Payload(json)
    }
}

impl ToRpcParams for Payload {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        RawValue::from_string(self.0).map(Some)
    }
}

/// Decodes a message from base64 text.
///
/// # Errors
/// Fails if the text is not valid base64, or the bytes are not a valid message of this type.
pub fn decode<M: Message + Default>(text: &str) -> anyhow::Result<M> {
    let bytes = STANDARD.decode(text)?;
    Ok(M::decode(bytes.as_slice())?)
}
