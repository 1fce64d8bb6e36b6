//! HTTP client of the key-value store.
//!
//! Requests: `GET /kv/KEY`, `PUT /kv/KEY?expect=any|absent|REVISION`, `DELETE /kv/KEY?expect=...`,
//! `GET /list?prefix=&after=&limit=`, `GET /watch?prefix=&after=&wait_ms=`.
//!
//! Status codes: 404 no such key, 409 conflict (the body holds the entry found), 413 value too
//! large, 429 rate limit exceeded, 503 store unavailable.

use std::net;

use base::{clock, faulty_keys, query};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{http, store};

/// Timeout of one request. A watch adds the time for which the store may hold it open.
const CALL_TIMEOUT: clock::Millis = clock::Millis(3_000);

/// HTTP client of the store.
#[derive(Debug)]
pub struct Http {
    base_url: String,
    agent: ureq::Agent,
    /// Entries that were logged as unreadable.
    faulty_keys: faulty_keys::FaultyKeys,
}

impl Http {
    /// Creates a client for the store at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            base_url: format!("http://{address}"),
            agent: http::agent(CALL_TIMEOUT),
            faulty_keys: faulty_keys::FaultyKeys::new(),
        }
    }

    /// Reads each entry on its own. An entry whose value or revision can't be read has an empty value, as no
    /// host writes; one without a key is left out.
    fn read_entries(&self, entries: &[&RawValue]) -> Vec<store::Entry> {
        let mut out = Vec::with_capacity(entries.len());
        for text in entries {
            let text = text.get();
            if let Ok(entry) = serde_json::from_str(text) {
                out.push(entry);
                continue;
            }
            let Ok(raw) = serde_json::from_str::<RawKey>(text) else {
                self.faulty_keys
                    .log("store_entry_unreadable", text, 0, "it tells no key");
                continue;
            };
            let fault = "its value or revision can't be read";
            self.faulty_keys
                .log("store_entry_unreadable", &raw.key, 0, fault);
            out.push(store::Entry {
                key: raw.key,
                value: Some(Vec::new()),
                revision: 0,
            });
        }
        out
    }

    fn key_url(&self, key: &str, expect: store::Expect) -> String {
        let expect = match expect {
            store::Expect::Any => "any".to_owned(),
            store::Expect::Absent => "absent".to_owned(),
            store::Expect::Revision(r) => r.to_string(),
        };
        format!("{}?expect={expect}", self.url(key))
    }

    fn url(&self, key: &str) -> String {
        format!("{}/kv/{}", self.base_url, query::encode(key))
    }
}

/// Key of an entry whose other fields can't be read.
#[derive(Deserialize)]
struct RawKey {
    key: String,
}

/// Response to a watch.
#[derive(Deserialize)]
struct RawChanges<'a> {
    revision: u64,
    #[serde(borrow)]
    entries: Vec<&'a RawValue>,
}

/// Result of one HTTP request.
type ResponseResult = Result<ureq::http::Response<ureq::Body>, ureq::Error>;

fn to_store_error(e: &ureq::Error) -> store::Error {
    if http::never_sent(e) {
        store::Error::Down
    } else {
        store::Error::Unknown
    }
}

/// Decodes the JSON body of a successful response, or maps its status code to an error.
fn decode<T: serde::de::DeserializeOwned>(response: ResponseResult) -> Result<T, store::Error> {
    parse(&read_success(response)?)
}

/// Reads the body of a successful response, or maps its status code to an error.
fn read_success(response: ResponseResult) -> Result<Vec<u8>, store::Error> {
    let mut response = response.map_err(|e| to_store_error(&e))?;
    let status = response.status().as_u16();
    match status {
        200 => read_body(&mut response),
        409 => {
            let found = read_body(&mut response)?;
            Err(store::Error::Conflict(parse(&found)?))
        }
        413 => Err(store::Error::TooLarge),
        429 => Err(store::Error::Limited),
        503 => Err(store::Error::Down),
        _ => Err(store::Error::Unknown),
    }
}

fn read_body(response: &mut ureq::http::Response<ureq::Body>) -> Result<Vec<u8>, store::Error> {
    let limit = 16 * store::MAX_VALUE_BYTES as u64;
    let bytes = response.body_mut().with_config().limit(limit).read_to_vec();
    bytes.map_err(|_| store::Error::Unknown)
}

fn parse<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, store::Error> {
    serde_json::from_slice(bytes).map_err(|e| {
        tracing::warn!(event = "store_answer_unreadable", error = %e);
        store::Error::Unknown
    })
}

impl store::Store for Http {
    fn get(&self, key: &str) -> Result<Option<store::Entry>, store::Error> {
        let response = self.agent.get(self.url(key)).call();
        if let Ok(r) = &response
            && r.status().as_u16() == 404
        {
            return Ok(None);
        }
        let body = read_success(response)?;
        let entries = [parse(&body)?];
        let entry = self.read_entries(&entries).pop();
        entry.map(Some).ok_or(store::Error::Unknown)
    }

    fn put(&self, key: &str, value: &[u8], expect: store::Expect) -> Result<u64, store::Error> {
        decode(self.agent.put(self.key_url(key, expect)).send(value))
    }

    fn delete(&self, key: &str, expect: store::Expect) -> Result<(), store::Error> {
        decode::<u64>(self.agent.delete(self.key_url(key, expect)).call()).map(|_| ())
    }

    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<store::Entry>, store::Error> {
        let url = format!(
            "{}/list?prefix={}&after={}&limit={limit}",
            self.base_url,
            query::encode(prefix),
            query::encode(after)
        );
        let body = read_success(self.agent.get(url).call())?;
        let raw: Vec<&RawValue> = parse(&body)?;
        let entries = self.read_entries(&raw);
        // The caller goes on after the last key, and takes a page without entries for the end.
        let is_advanced = entries.last().is_some_and(|last| last.key.as_str() > after);
        if !raw.is_empty() && !is_advanced {
            tracing::warn!(event = "store_list_stuck", prefix, after);
            return Err(store::Error::Unknown);
        }
        Ok(entries)
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: clock::Millis,
    ) -> Result<store::Changes, store::Error> {
        let url = format!(
            "{}/watch?prefix={}&after={after}&wait_ms={}",
            self.base_url,
            query::encode(prefix),
            wait.0
        );
        let request = self.agent.get(url).config();
        let timeout = (wait + CALL_TIMEOUT).duration();
        let body = read_success(request.timeout_global(Some(timeout)).build().call())?;
        let raw: RawChanges<'_> = parse(&body)?;
        Ok(store::Changes {
            revision: raw.revision,
            entries: self.read_entries(&raw.entries),
        })
    }
}
