//! One part of a streamed chat completion, read and written by hand: the hottest types.

use std::fmt;

use serde::de;
use serde::ser;
use serde::ser::SerializeStruct as _;

/// Tokens of an answer as the engine counts them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u64,
}

/// One part of a streamed answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chunk {
    /// The id of the send that it answers.
    pub id: String,
    /// Text to append.
    pub text: String,
    /// Why the answer ended, in its last part.
    pub finish: Option<String>,
    /// What the answer used, in its last part.
    pub usage: Option<Usage>,
    /// A delta with more than text, such as a tool call, as it came.
    pub other: Option<serde_json::Value>,
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

/// The first choice; the router asks for one.
#[derive(Default)]
struct Choices {
    delta: Delta,
    finish: Option<String>,
}

impl Choices {
    fn into_chunk(self, out: &mut Chunk) {
        out.text = self.delta.text;
        out.other = self.delta.other;
        out.finish = self.finish;
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
            finish: first.finish_reason,
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
    other: Option<serde_json::Value>,
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
        let mut other = serde_json::Map::new();
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "content" => out.text = map.next_value::<Option<String>>()?.unwrap_or_default(),
                "role" => {
                    map.next_value::<de::IgnoredAny>()?;
                }
                _ => {
                    other.insert(key, map.next_value()?);
                }
            }
        }
        other.retain(|_, v| !v.is_null());
        if !other.is_empty() {
            out.other = Some(serde_json::Value::Object(other));
        }
        Ok(out)
    }
}

/// One part as it goes to the caller.
pub struct Out<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The model asked for.
    pub model: &'a str,
    /// Text to append.
    pub text: &'a str,
    /// A delta with more than text.
    pub other: Option<&'a serde_json::Value>,
    /// Why the answer ended.
    pub finish: Option<&'a str>,
    /// What the answer used.
    pub usage: Option<Usage>,
}

impl ser::Serialize for Out<'_> {
    fn serialize<S: ser::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let len = 4 + usize::from(self.usage.is_some());
        let mut out = s.serialize_struct("chunk", len)?;
        out.serialize_field("id", self.id)?;
        out.serialize_field("object", "chat.completion.chunk")?;
        out.serialize_field("model", self.model)?;
        out.serialize_field("choices", &[OutChoice(self)])?;
        if let Some(usage) = &self.usage {
            out.serialize_field("usage", usage)?;
        }
        out.end()
    }
}

struct OutChoice<'a>(&'a Out<'a>);

impl ser::Serialize for OutChoice<'_> {
    fn serialize<S: ser::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut out = s.serialize_struct("choice", 3)?;
        out.serialize_field("index", &0)?;
        match self.0.other {
            Some(other) => out.serialize_field("delta", other)?,
            None => out.serialize_field("delta", &OutDelta(self.0.text))?,
        }
        out.serialize_field("finish_reason", &self.0.finish)?;
        out.end()
    }
}

struct OutDelta<'a>(&'a str);

impl ser::Serialize for OutDelta<'_> {
    fn serialize<S: ser::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let fields = usize::from(!self.0.is_empty());
        let mut out = s.serialize_struct("delta", fields)?;
        if fields > 0 {
            out.serialize_field("content", self.0)?;
        }
        out.end()
    }
}
