//! Parses chat completion requests and builds the request body for an upstream.

use base::{hash, refusal};
use serde_json::json;

/// Number of leading bytes of the serialized messages that are hashed as the prompt prefix.
const PREFIX_BYTES: usize = 1_024;
/// Estimated bytes of text per token, used until the engine reports its own count.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum tokens of a completion if the request sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 4_096;

/// A chat completion request. Fields that the router does not interpret are forwarded to the engine
/// unchanged.
pub struct ChatRequest {
    json: serde_json::Map<String, serde_json::Value>,
    /// Requested model; selects the service.
    pub model: String,
    /// Whether the client requested server-sent events instead of one JSON response.
    pub stream: bool,
    /// Maximum tokens of the completion; 4,096 if the request sets no limit.
    pub max_tokens: u32,
    /// Estimated length of the prompt in tokens, from its length in bytes.
    pub prompt_tokens: u32,
    /// Hash of the first 1,024 bytes of the serialized messages. Equal hashes indicate that an
    /// upstream may have the prompt prefix cached.
    pub prefix_hash: u64,
}

/// Returns the refusal for a body that is not a valid chat request.
pub fn bad_request() -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Reason::BadRequest)
}

impl ChatRequest {
    /// Parses the JSON body of a chat completion request.
    ///
    /// # Errors
    ///
    /// `BadRequest` if the body is not JSON, lacks `model` or `messages`, has a field of a wrong
    /// type or asks for more than one choice (`n`).
    pub fn parse(bytes: &[u8]) -> Result<Self, refusal::Refusal> {
        let json: serde_json::Map<_, _> =
            serde_json::from_slice(bytes).map_err(|_| bad_request())?;
        let model = json
            .get("model")
            .and_then(|m| m.as_str())
            .ok_or_else(bad_request)?
            .to_owned();
        let messages = json
            .get("messages")
            .and_then(|m| m.as_array())
            .ok_or_else(bad_request)?;
        if messages.is_empty() || json.get("n").is_some_and(|n| n != &json!(1)) {
            return Err(bad_request());
        }
        let text = serde_json::to_vec(messages).map_err(|_| bad_request())?;
        let max_tokens = ["max_completion_tokens", "max_tokens"]
            .iter()
            .find_map(|k| json.get(*k));
        let max_tokens = match max_tokens {
            None | Some(serde_json::Value::Null) => DEFAULT_MAX_TOKENS,
            Some(n) => n
                .as_u64()
                .and_then(|n| u32::try_from(n).ok())
                .ok_or_else(bad_request)?,
        };
        let stream = match json.get("stream") {
            None | Some(serde_json::Value::Null) => false,
            Some(s) => s.as_bool().ok_or_else(bad_request)?,
        };
        let prompt_tokens = (text.len() / BYTES_PER_TOKEN) as u32;
        let prefix_hash = hash::stable_hash(&text[..text.len().min(PREFIX_BYTES)]);
        Ok(Self {
            model,
            stream,
            max_tokens,
            prompt_tokens,
            prefix_hash,
            json,
        })
    }

    /// Builds the request body for an upstream. `received` is the text that the client has received
    /// from earlier attempts, `received_tokens` long: the engine continues it, and its tokens are
    /// deducted from the limit. `tier` becomes the priority at the engine.
    pub fn upstream_body(&self, tier: u8, received: &str, received_tokens: u32) -> Vec<u8> {
        let mut json = self.json.clone();
        json.insert("stream".into(), json!(true));
        json.insert("stream_options".into(), json!({"include_usage": true}));
        json.insert("priority".into(), json!(tier));
        json.remove("max_completion_tokens");
        if self.json.contains_key("max_tokens") || self.json.contains_key("max_completion_tokens") {
            json.insert(
                "max_tokens".into(),
                json!(self.max_tokens.saturating_sub(received_tokens)),
            );
        }
        if let (false, Some(messages)) = (received.is_empty(), json.get_mut("messages")) {
            if let Some(messages) = messages.as_array_mut() {
                messages.push(json!({"role": "assistant", "content": received}));
            }
            json.insert("continue_final_message".into(), json!(true));
            json.insert("add_generation_prompt".into(), json!(false));
        }
        serde_json::to_vec(&json).unwrap_or_default()
    }
}
