//! Minimal JSON: enough for the bodies of the platform's interfaces.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value. Numbers are kept as text, so that no digit is lost.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses `text`; `Null` if it is not JSON.
    pub fn parse(text: &[u8]) -> Self {
        let mut parser = Parser { text, at: 0 };
        parser.value().unwrap_or(Self::Null)
    }

    /// Field of an object, or `Null`.
    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    /// Entries of a list; empty for other values.
    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(entries) => entries,
            _ => &[],
        }
    }

    /// Text of a string; empty for other values.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// Value of a whole number; 0 for other values.
    pub fn number(&self) -> u64 {
        match self {
            Self::Number(text) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(text) => f.write_str(text),
            Self::Text(text) => write!(f, "\"{}\"", escape(text)),
            Self::List(entries) => {
                f.write_str("[")?;
                for (i, entry) in entries.iter().enumerate() {
                    write!(f, "{}{entry}", if i > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Self::Object(fields) => {
                f.write_str("{")?;
                for (i, (name, value)) in fields.iter().enumerate() {
                    let comma = if i > 0 { "," } else { "" };
                    write!(f, "{comma}\"{}\":{value}", escape(name))?;
                }
                f.write_str("}")
            }
        }
    }
}

fn escape(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"")
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn take(&mut self, wanted: u8) -> Option<()> {
        (self.peek()? == wanted).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.text[self.at..].starts_with(word.as_bytes());
        found.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.entries(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.digits(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        while self.peek()? != b'}' {
            if !fields.is_empty() {
                self.take(b',')?;
                self.peek()?;
            }
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
        }
        self.take(b'}')?;
        Some(Json::Object(fields))
    }

    fn entries(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut entries = Vec::new();
        while self.peek()? != b']' {
            if !entries.is_empty() {
                self.take(b',')?;
            }
            entries.push(self.value()?);
        }
        self.take(b']')?;
        Some(Json::List(entries))
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    out.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        other => other,
                    });
                }
                other => out.push(other),
            }
        }
    }

    fn digits(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
        while self.text.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
        (!text.is_empty()).then(|| Json::Number(text.to_owned()))
    }
}
