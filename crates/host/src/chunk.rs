//! Chunks of streamed chat completions. (De)serialization is written by hand because it runs for
//! every token of every response.

use std::fmt;

use serde::de;
use serde::ser;
use serde::ser::{SerializeMap as _, SerializeStruct as _};

/// Token counts of a completion as reported by the engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Usage {
    /// Tokens of the prompt; 0 if not reported.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the completion; 0 if not reported.
    #[serde(default)]
    pub completion_tokens: u64,
}

/// Fields of a delta other than `content` and `role`, by name.
pub type ExtraDelta = serde_json::Map<String, serde_json::Value>;

/// One chunk of a streamed chat completion from an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chunk {
    /// Id of the upstream request that the chunk responds to.
    pub id: String,
    /// Text to append to the completion; may be empty.
    pub text: String,
    /// Reason why the completion ended (`finish_reason`); set only in the last chunk.
    pub finish_reason: Option<String>,
    /// Token counts; set only in the last chunk, if the engine reports them.
    pub usage: Option<Usage>,
    /// Further fields of the delta, such as tool calls; `None` if there are none.
    pub extra_delta: Option<ExtraDelta>,
}

impl<'de> de::Deserialize<'de> for Chunk {
    fn deserialize<D: de::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_map(ChunkVisitor)
    }
}

struct ChunkVisitor;

impl<'de> de::Visitor<'de> for ChunkVisitor {
    type Value = Chunk;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chat completion chunk")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Chunk, A::Error> {
        let mut out = Chunk::default();
        while let Some(key) = map.next_key::<&str>()? {
            match key {
                "id" => out.id = map.next_value()?,
                "usage" => out.usage = map.next_value()?,
                "choices" => {
                    let choices: Choices = map.next_value()?;
                    choices.into_chunk(&mut out);
                }
                _ => {
                    map.next_value::<de::IgnoredAny>()?;
                }
            }
        }
        Ok(out)
    }
}

/// First element of `choices`; requests for more than one choice are refused.
#[derive(Default)]
struct Choices {
    delta: Delta,
    finish_reason: Option<String>,
}

impl Choices {
    fn into_chunk(self, out: &mut Chunk) {
        out.text = self.delta.text;
        out.extra_delta = self.delta.extra_delta;
        out.finish_reason = self.finish_reason;
    }
}

impl<'de> de::Deserialize<'de> for Choices {
    fn deserialize<D: de::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_seq(ChoicesVisitor)
    }
}

struct ChoicesVisitor;

impl<'de> de::Visitor<'de> for ChoicesVisitor {
    type Value = Choices;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of choices")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Choices, A::Error> {
        let first = seq.next_element::<Choice>()?;
        while seq.next_element::<de::IgnoredAny>()?.is_some() {}
        let first = first.unwrap_or_default();
        Ok(Choices {
            delta: first.delta,
            finish_reason: first.finish_reason,
        })
    }
}

#[derive(Default, serde::Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default)]
struct Delta {
    text: String,
    extra_delta: Option<ExtraDelta>,
}

impl<'de> de::Deserialize<'de> for Delta {
    fn deserialize<D: de::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_map(DeltaVisitor)
    }
}

struct DeltaVisitor;

impl<'de> de::Visitor<'de> for DeltaVisitor {
    type Value = Delta;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a delta")
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Delta, A::Error> {
        let mut out = Delta::default();
        let mut extra_delta = serde_json::Map::new();
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "content" => out.text = map.next_value::<Option<String>>()?.unwrap_or_default(),
                "role" => {
                    map.next_value::<de::IgnoredAny>()?;
                }
                _ => {
                    extra_delta.insert(key, map.next_value()?);
                }
            }
        }
        extra_delta.retain(|_, v| !v.is_null());
        if !extra_delta.is_empty() {
            out.extra_delta = Some(extra_delta);
        }
        Ok(out)
    }
}

/// One chunk of a streamed chat completion in the form that is sent to the client.
pub struct ClientChunk<'a> {
    /// Request id that the host generated, the same in all chunks of a response.
    pub id: &'a str,
    /// Model named in the client's request.
    pub model: &'a str,
    /// Text to append to the completion; may be empty.
    pub text: &'a str,
    /// Fields to send unchanged in the delta beside `text`, for example a tool call.
    pub extra_delta: Option<&'a ExtraDelta>,
    /// Reason why the completion ended (`finish_reason`); `None` before the last chunk.
    pub finish_reason: Option<&'a str>,
    /// Token counts of the whole completion; `None` before the last chunk.
    pub usage: Option<Usage>,
}

impl ser::Serialize for ClientChunk<'_> {
    fn serialize<S: ser::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let len = 4 + usize::from(self.usage.is_some());
        let mut out = s.serialize_struct("chunk", len)?;
        out.serialize_field("id", self.id)?;
        out.serialize_field("object", "chat.completion.chunk")?;
        out.serialize_field("model", self.model)?;
        out.serialize_field("choices", &[ClientChoice(self)])?;
        if let Some(usage) = &self.usage {
            out.serialize_field("usage", usage)?;
        }
        out.end()
    }
}

struct ClientChoice<'a>(&'a ClientChunk<'a>);

impl ser::Serialize for ClientChoice<'_> {
    fn serialize<S: ser::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut out = s.serialize_struct("choice", 3)?;
        out.serialize_field("index", &0)?;
        out.serialize_field("delta", &ClientDelta(self.0))?;
        out.serialize_field("finish_reason", &self.0.finish_reason)?;
        out.end()
    }
}

struct ClientDelta<'a>(&'a ClientChunk<'a>);

impl ser::Serialize for ClientDelta<'_> {
    fn serialize<S: ser::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut out = s.serialize_map(None)?;
        if !self.0.text.is_empty() {
            out.serialize_entry("content", self.0.text)?;
        }
        for (name, value) in self.0.extra_delta.into_iter().flatten() {
            out.serialize_entry(name, value)?;
        }
        out.end()
    }
}
