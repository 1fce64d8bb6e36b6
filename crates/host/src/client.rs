//! Who calls, and what for: path, key, class.

use std::sync;

use base::{name, refusal};
use config::{document, key};
use policy::usage;

use crate::{blocked, context};

/// What a path asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target<'a> {
    /// A chat completion.
    Chat,
    /// The list of models.
    Models,
    /// A plain service, and the path behind its name with the query.
    Plain(&'a str, &'a str),
    /// Health, readiness, metrics, or a key to block.
    Operator(&'a str),
    /// Nothing known.
    Unknown,
}

/// What the URL asks for.
pub fn target(url: &str) -> Target<'_> {
    let path = url.split_once('?').map_or(url, |(path, _)| path);
    match path {
        "/v1/chat/completions" => Target::Chat,
        "/v1/models" => Target::Models,
        "/healthz" | "/readyz" | "/metrics" | blocked::PATH => Target::Operator(path),
        _ => match url.strip_prefix("/s/") {
            Some(rest) => plain(rest),
            None => Target::Unknown,
        },
    }
}

fn plain(rest: &str) -> Target<'_> {
    match rest.find(['/', '?']) {
        Some(at) => Target::Plain(&rest[..at], &rest[at..]),
        None => Target::Plain(rest, "/"),
    }
}

/// The value of a header.
pub fn header<'a>(request: &'a tiny_http::Request, name: &'static str) -> Option<&'a str> {
    let found = request.headers().iter().find(|h| h.field.equiv(name));
    found.map(|h| h.value.as_str())
}

/// What a request's headers say.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    /// The key, if one came.
    pub key: Option<String>,
    /// The class asked for.
    pub class: Option<String>,
    /// The idempotency key.
    pub once: Option<String>,
}

/// The longest idempotency key, in bytes.
pub const MAX_ONCE_BYTES: usize = 200;

impl Credentials {
    /// Reads the headers of `request`.
    pub fn read(request: &tiny_http::Request) -> Self {
        let bearer = header(request, "Authorization").and_then(|v| {
            let (scheme, key) = v.split_once(' ')?;
            scheme
                .eq_ignore_ascii_case("bearer")
                .then(|| key.trim().to_owned())
        });
        Self {
            key: bearer,
            class: header(request, "X-Request-Class").map(str::to_owned),
            once: header(request, "Idempotency-Key").map(str::to_owned),
        }
    }
}

/// Who calls and under which class.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The team; `None` without a key on a route open to all.
    pub team: Option<sync::Arc<document::Team>>,
    /// The digest of the key, to look it up again while the answer runs.
    pub digest: Option<String>,
    /// The request class.
    pub class: sync::Arc<document::Class>,
}

impl Caller {
    /// The team's name, empty without a key.
    pub fn team_name(&self) -> &str {
        self.team.as_ref().map_or("", |t| t.name.as_str())
    }

    /// Who pays for what this caller uses of `service`.
    pub fn account(&self, service: &name::Service) -> usage::Account {
        usage::Account {
            team: self.team.as_ref().map(|t| t.name.clone()),
            class: self.class.name.clone(),
            service: service.clone(),
        }
    }

    /// Whether the caller's key still works.
    pub fn still_known(&self, context: &context::Context) -> bool {
        match &self.digest {
            Some(digest) => context.team_of(digest).is_some(),
            None => true,
        }
    }
}

/// Whether `bytes` hold the caller's key, which no upstream may see.
pub fn carries_key(credentials: &Credentials, bytes: &[u8]) -> bool {
    let Some(key) = credentials.key.as_deref().filter(|k| !k.is_empty()) else {
        return false;
    };
    bytes.windows(key.len()).any(|w| w == key.as_bytes())
}

/// Checks key, class and permission for `service`.
///
/// # Errors
///
/// The refusal.
pub fn admit(
    context: &context::Context,
    credentials: &Credentials,
    service: &document::Service,
) -> Result<Caller, refusal::Refusal> {
    let refuse = |reason| Err(refusal::Refusal::not_run(reason));
    let digest = credentials.key.as_deref().map(key::digest);
    let team = digest.as_deref().and_then(|digest| context.team_of(digest));
    let view = context.view();
    if digest.is_some() && team.is_some() && !context.trusts_keys() && !service.open {
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
    Ok(Caller {
        team,
        digest,
        class,
    })
}
