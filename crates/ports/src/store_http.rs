//! HTTP client of the key-value store.
//!
//! Requests: `GET /kv/KEY`, `PUT /kv/KEY?expect=any|absent|REVISION`, `DELETE /kv/KEY?expect=...`,
//! `GET /list?prefix=&after=&limit=`, `GET /watch?prefix=&after=&wait_ms=`.
//!
//! Status codes: 404 no such key, 409 conflict (the body holds the entry found), 413 value too
//! large, 429 rate limit exceeded, 503 store unavailable.

use std::net;

use base::clock;

use crate::{http, store};

/// Timeout of one request. A watch adds the time for which the store may hold it open.
const CALL_TIMEOUT: clock::Millis = clock::Millis(3_000);

/// HTTP client of the store.
#[derive(Debug)]
pub struct Http {
    base_url: String,
    agent: ureq::Agent,
}

impl Http {
    /// Creates a client for the store at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            base_url: format!("http://{address}"),
            agent: http::agent(CALL_TIMEOUT),
        }
    }

    fn key_url(&self, key: &str, expect: store::Expect) -> String {
        let expect = match expect {
            store::Expect::Any => "any".to_owned(),
            store::Expect::Absent => "absent".to_owned(),
            store::Expect::Revision(r) => r.to_string(),
        };
        format!("{}/kv/{key}?expect={expect}", self.base_url)
    }
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
    let mut response = response.map_err(|e| to_store_error(&e))?;
    let status = response.status().as_u16();
    match status {
        200 => decode_body(&mut response),
        409 => Err(store::Error::Conflict(decode_body(&mut response)?)),
        413 => Err(store::Error::TooLarge),
        429 => Err(store::Error::Limited),
        503 => Err(store::Error::Down),
        _ => Err(store::Error::Unknown),
    }
}

fn decode_body<T: serde::de::DeserializeOwned>(
    response: &mut ureq::http::Response<ureq::Body>,
) -> Result<T, store::Error> {
    let limit = 16 * store::MAX_VALUE_BYTES as u64;
    let bytes = response.body_mut().with_config().limit(limit).read_to_vec();
    let bytes = bytes.map_err(|_| store::Error::Unknown)?;
    serde_json::from_slice(&bytes).map_err(|_| store::Error::Unknown)
}

impl store::Store for Http {
    fn get(&self, key: &str) -> Result<Option<store::Entry>, store::Error> {
        let response = self.agent.get(format!("{}/kv/{key}", self.base_url)).call();
        if let Ok(r) = &response
            && r.status().as_u16() == 404
        {
            return Ok(None);
        }
        decode(response).map(Some)
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
            "{}/list?prefix={prefix}&after={after}&limit={limit}",
            self.base_url
        );
        decode(self.agent.get(url).call())
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: clock::Millis,
    ) -> Result<store::Changes, store::Error> {
        let url = format!(
            "{}/watch?prefix={prefix}&after={after}&wait_ms={}",
            self.base_url, wait.0
        );
        let request = self.agent.get(url).config();
        decode(
            request
                .timeout_global(Some((wait + CALL_TIMEOUT).duration()))
                .build()
                .call(),
        )
    }
}
