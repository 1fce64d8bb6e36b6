//! Chat requests: what the router reads of them, and the body that goes to an upstream.

use base::{hash, refusal};
use serde_json::json;

/// Bytes of the conversation's beginning that count as its prefix.
const PREFIX_BYTES: usize = 1_024;
/// Bytes of text that count as one token where the engine has not counted.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens of an answer when the caller names no limit.
const DEFAULT_LIMIT: u32 = 4_096;

/// The parts of a request that the router reads; the rest goes to the engine as it came.
pub struct Request {
    json: serde_json::Map<String, serde_json::Value>,
    /// The model asked for.
    pub model: String,
    /// Whether the caller wants events.
    pub stream: bool,
    /// The longest answer taken, in tokens.
    pub limit: u32,
    /// Tokens of the prompt, about.
    pub prompt: u32,
    /// A hash of the conversation's beginning.
    pub prefix: u64,
}

/// The refusal of a body that is not a chat request.
pub fn bad() -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Reason::BadRequest)
}

impl Request {
    /// Reads the body of a request.
    ///
    /// # Errors
    ///
    /// `BadRequest`.
    pub fn parse(bytes: &[u8]) -> Result<Self, refusal::Refusal> {
        let json: serde_json::Map<_, _> = serde_json::from_slice(bytes).map_err(|_| bad())?;
        let model = json
            .get("model")
            .and_then(|m| m.as_str())
            .ok_or_else(bad)?
            .to_owned();
        let messages = json
            .get("messages")
            .and_then(|m| m.as_array())
            .ok_or_else(bad)?;
        if messages.is_empty() || json.get("n").is_some_and(|n| n != &json!(1)) {
            return Err(bad());
        }
        let text = serde_json::to_vec(messages).map_err(|_| bad())?;
        let limit = ["max_completion_tokens", "max_tokens"]
            .iter()
            .find_map(|k| json.get(*k));
        let limit = match limit {
            None | Some(serde_json::Value::Null) => DEFAULT_LIMIT,
            Some(n) => n
                .as_u64()
                .and_then(|n| u32::try_from(n).ok())
                .ok_or_else(bad)?,
        };
        let stream = match json.get("stream") {
            None | Some(serde_json::Value::Null) => false,
            Some(s) => s.as_bool().ok_or_else(bad)?,
        };
        let prompt = (text.len() / BYTES_PER_TOKEN) as u32;
        let prefix = hash::stable_hash(&text[..text.len().min(PREFIX_BYTES)]);
        Ok(Self {
            model,
            stream,
            limit,
            prompt,
            prefix,
            json,
        })
    }

    /// The body for an upstream; `held` is the text that the caller already has.
    pub fn body(&self, tier: u8, held: &str, tokens: u32) -> Vec<u8> {
        let mut json = self.json.clone();
        json.insert("stream".into(), json!(true));
        json.insert("stream_options".into(), json!({"include_usage": true}));
        json.insert("priority".into(), json!(tier));
        json.remove("max_completion_tokens");
        if self.json.contains_key("max_tokens") || self.json.contains_key("max_completion_tokens") {
            json.insert(
                "max_tokens".into(),
                json!(self.limit.saturating_sub(tokens)),
            );
        }
        if let (false, Some(messages)) = (held.is_empty(), json.get_mut("messages")) {
            if let Some(list) = messages.as_array_mut() {
                list.push(json!({"role": "assistant", "content": held}));
            }
            json.insert("continue_final_message".into(), json!(true));
            json.insert("add_generation_prompt".into(), json!(false));
        }
        serde_json::to_vec(&json).unwrap_or_default()
    }
}
