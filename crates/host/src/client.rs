//! Interprets the path and the headers of a client's request: routing target, API key and request
//! class, and checks what the client may use.

use std::sync;

use base::{name, refusal};
use config::{document, key};
use policy::usage;

use crate::{blocked_keys, context, http_request};

/// Endpoint or service that the path of a request addresses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target<'a> {
    /// Chat completions, `/v1/chat/completions`.
    Chat,
    /// List of the models that the client may use, `/v1/models`.
    Models,
    /// A plain service, `/s/{name}/...`: the name of the service, then the rest of the path
    /// including the query.
    Plain(&'a str, &'a str),
    /// Operator endpoint: health, readiness, metrics, or blocking of a key.
    Operator(&'a str),
    /// The path matches no endpoint; answered with `NotFound`.
    Unknown,
}

/// Maps a request URL (path and query) to its target.
pub fn parse_target(url: &str) -> Target<'_> {
    let path = url.split_once('?').map_or(url, |(path, _)| path);
    match path {
        "/v1/chat/completions" => Target::Chat,
        "/v1/models" => Target::Models,
        "/healthz" | "/readyz" | "/metrics" | blocked_keys::PATH => Target::Operator(path),
        _ => match url.strip_prefix("/s/") {
            Some(service_path) => plain_target(service_path),
            None => Target::Unknown,
        },
    }
}

fn plain_target(path: &str) -> Target<'_> {
    match path.find(['/', '?']) {
        Some(end) => Target::Plain(&path[..end], &path[end..]),
        None => Target::Plain(path, "/"),
    }
}

/// Returns the value of the first header `name`, compared without regard to case.
pub fn header<'a>(request: &'a http_request::Request, name: &'static str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// API key, request class and idempotency key from the headers of a request.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    /// API key of the `Authorization: Bearer` header; `None` without one.
    pub key: Option<String>,
    /// Requested class (`X-Request-Class`); `None` selects the default class of the team.
    pub class: Option<String>,
    /// Value of the `Idempotency-Key` header; `None` without one.
    pub idempotency_key: Option<String>,
}

/// Maximum length of an idempotency key.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

impl Credentials {
    /// Extracts the credentials from the headers of `request`.
    pub fn read(request: &http_request::Request) -> Self {
        let bearer = header(request, "Authorization").and_then(|v| {
            let (scheme, key) = v.split_once(' ')?;
            scheme
                .eq_ignore_ascii_case("bearer")
                .then(|| key.trim().to_owned())
        });
        Self {
            key: bearer,
            class: header(request, "X-Request-Class").map(str::to_owned),
            idempotency_key: header(request, "Idempotency-Key").map(str::to_owned),
        }
    }
}

/// An authorized client: its team, its key and the class of its request.
#[derive(Clone, Debug)]
pub struct Client {
    /// Team that owns the key; `None` for a request without a key to an open service.
    pub team: Option<sync::Arc<document::Team>>,
    /// Digest of the API key, to check during the response that the key is still valid; `None`
    /// without a key.
    pub digest: Option<String>,
    /// Request class: priority and latency targets.
    pub class: sync::Arc<document::Class>,
}

impl Client {
    /// Returns the name of the team, or an empty string for a client without a key.
    pub fn team_name(&self) -> &str {
        self.team.as_ref().map_or("", |t| t.name.as_str())
    }

    /// Returns the account that is billed for this client's usage of `service`.
    pub fn account(&self, service: &name::Service) -> usage::Account {
        usage::Account {
            team: self.team.as_ref().map(|t| t.name.clone()),
            class: self.class.name.clone(),
            service: service.clone(),
        }
    }

    /// Whether the client's key is still valid: neither withdrawn nor blocked. Always true for a
    /// client without a key.
    pub fn is_key_valid(&self, context: &context::Context) -> bool {
        match &self.digest {
            Some(digest) => context.team_by_key(digest).is_some(),
            None => true,
        }
    }
}

/// Whether `bytes` contain the client's API key, which must not reach an upstream.
pub fn contains_key(credentials: &Credentials, bytes: &[u8]) -> bool {
    let Some(key) = credentials.key.as_deref().filter(|k| !k.is_empty()) else {
        return false;
    };
    bytes.windows(key.len()).any(|w| w == key.as_bytes())
}

/// Authorizes a request to `service`: checks the key, the team's access and the request class.
///
/// # Errors
///
/// `StaleKeys`, `BadKey`, `Forbidden` or `UnknownClass`, all refused before execution.
pub fn authorize(
    context: &context::Context,
    credentials: &Credentials,
    service: &document::Service,
) -> Result<Client, refusal::Refusal> {
    let refuse = |reason| Err(refusal::Refusal::not_run(reason));
    let digest = credentials.key.as_deref().map(key::digest);
    let team = digest
        .as_deref()
        .and_then(|digest| context.team_by_key(digest));
    let view = context.view();
    if digest.is_some() && team.is_some() && !context.are_keys_trusted() && !service.open {
        return refuse(refusal::Reason::StaleKeys);
    }
    if team.is_none() && !service.open {
        return refuse(refusal::Reason::BadKey);
    }
    if let Some(team) = &team
        && !service.teams.is_empty()
        && !service.teams.contains(&team.name)
    {
        return refuse(refusal::Reason::Forbidden);
    }
    let class = match (&credentials.class, &team) {
        (Some(class), _) => view.class(class),
        (None, Some(team)) => team.classes.first().and_then(|c| view.class(c.as_str())),
        (None, None) => view.lowest_class(),
    };
    let Some(class) = class else {
        return refuse(refusal::Reason::UnknownClass);
    };
    let allowed = match &team {
        Some(team) => team.classes.contains(&class.name),
        None => view.lowest_class().is_some_and(|c| c.tier == class.tier),
    };
    if !allowed {
        return refuse(refusal::Reason::Forbidden);
    }
    let digest = team.as_ref().and(digest);
    Ok(Client {
        team,
        digest,
        class,
    })
}
