//! The store over HTTP.
//!
//! `GET /kv/KEY`, `PUT /kv/KEY?expect=any|absent|REVISION`, `DELETE` likewise,
//! `GET /list?prefix=&after=&limit=`, `GET /watch?prefix=&after=&wait_ms=`.
//! 404 no such key, 409 conflict with what was found, 413 too large, 429 over the rate, 503 down.

use std::net;

use base::clock;

use crate::{http, store};

/// Time for one call besides a watch.
const CALL: clock::Millis = clock::Millis(3_000);

/// A client of the store.
#[derive(Debug)]
pub struct Http {
    base: String,
    calls: ureq::Agent,
}

impl Http {
    /// A client of the store at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            base: format!("http://{address}"),
            calls: http::agent(CALL),
        }
    }

    fn url(&self, key: &str, expect: store::Expect) -> String {
        let expect = match expect {
            store::Expect::Any => "any".to_owned(),
            store::Expect::Absent => "absent".to_owned(),
            store::Expect::Revision(r) => r.to_string(),
        };
        format!("{}/kv/{key}?expect={expect}", self.base)
    }
}

type Answer = Result<ureq::http::Response<ureq::Body>, ureq::Error>;

fn failed(e: &ureq::Error) -> store::Error {
    if http::never_sent(e) {
        store::Error::Down
    } else {
        store::Error::Unknown
    }
}

/// The body of a successful answer as JSON, or the error that its status stands for.
fn read<T: serde::de::DeserializeOwned>(answer: Answer) -> Result<T, store::Error> {
    let mut answer = answer.map_err(|e| failed(&e))?;
    let status = answer.status().as_u16();
    match status {
        200 => body(&mut answer),
        409 => Err(store::Error::Conflict(body(&mut answer)?)),
        413 => Err(store::Error::TooLarge),
        429 => Err(store::Error::Limited),
        503 => Err(store::Error::Down),
        _ => Err(store::Error::Unknown),
    }
}

fn body<T: serde::de::DeserializeOwned>(
    answer: &mut ureq::http::Response<ureq::Body>,
) -> Result<T, store::Error> {
    let limit = 16 * store::MAX_VALUE_BYTES as u64;
    let bytes = answer.body_mut().with_config().limit(limit).read_to_vec();
    let bytes = bytes.map_err(|_| store::Error::Unknown)?;
    serde_json::from_slice(&bytes).map_err(|_| store::Error::Unknown)
}

impl store::Store for Http {
    fn get(&self, key: &str) -> Result<Option<store::Entry>, store::Error> {
        let answer = self.calls.get(format!("{}/kv/{key}", self.base)).call();
        if let Ok(a) = &answer
            && a.status().as_u16() == 404
        {
            return Ok(None);
        }
        read(answer).map(Some)
    }

    fn put(&self, key: &str, value: &[u8], expect: store::Expect) -> Result<u64, store::Error> {
        read(self.calls.put(self.url(key, expect)).send(value))
    }

    fn delete(&self, key: &str, expect: store::Expect) -> Result<(), store::Error> {
        read::<u64>(self.calls.delete(self.url(key, expect)).call()).map(|_| ())
    }

    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<store::Entry>, store::Error> {
        let url = format!(
            "{}/list?prefix={prefix}&after={after}&limit={limit}",
            self.base
        );
        read(self.calls.get(url).call())
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: clock::Millis,
    ) -> Result<store::Changes, store::Error> {
        let url = format!(
            "{}/watch?prefix={prefix}&after={after}&wait_ms={}",
            self.base, wait.0
        );
        let call = self.calls.get(url).config();
        read(
            call.timeout_global(Some((wait + CALL).duration()))
                .build()
                .call(),
        )
    }
}
