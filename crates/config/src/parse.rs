//! Parses and validates YAML configuration documents, reporting all errors of the content at once.

use std::collections;
use std::net;

use base::{clock, diagnostic, name};
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::document;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDocument {
    #[serde(default)]
    classes: Vec<RawClass>,
    #[serde(default)]
    teams: Vec<RawTeam>,
    #[serde(default)]
    services: Vec<RawService>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawClass {
    name: Spanned<String>,
    tier: Spanned<u8>,
    first_ms: Spanned<u64>,
    #[serde(default)]
    gap_ms: u64,
    #[serde(default = "default_bound")]
    bound_ms: u64,
    #[serde(default)]
    floor: Option<Spanned<f64>>,
    #[serde(default = "yes")]
    evictable: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTeam {
    name: Spanned<String>,
    #[serde(default)]
    weight: Option<Spanned<u32>>,
    classes: Vec<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    name: Spanned<String>,
    kind: document::ServiceKind,
    #[serde(default)]
    models: Vec<Spanned<String>>,
    #[serde(default)]
    open: bool,
    #[serde(default)]
    teams: Vec<Spanned<String>>,
    #[serde(default)]
    idempotent: Option<bool>,
    upstreams: Vec<RawUpstream>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawUpstream {
    name: Spanned<String>,
    dc: Spanned<String>,
    address: Spanned<String>,
    slots: Spanned<u32>,
    #[serde(default)]
    price: u32,
    #[serde(default)]
    cheap: bool,
    #[serde(default)]
    ordered: bool,
}

const DEFAULT_MAX_WAIT_MS: u64 = 30_000;
const MAX_TIER: u8 = 7;
const MIN_FLOOR_SHARE: f64 = 0.001;
const MAX_FLOOR_SHARE: f64 = 0.5;
const DEFAULT_FLOOR_SHARE: f64 = 0.02;
const MAX_SLOTS: u32 = 65_536;

/// Default of the setting `bound_ms`.
fn default_bound() -> u64 {
    DEFAULT_MAX_WAIT_MS
}

/// Default of the setting `evictable`.
fn yes() -> bool {
    true
}

/// Parses and validates the YAML `text` of `file`.
///
/// # Errors
///
/// Returns all errors of the content, or only the first one if the YAML can't be decoded.
pub fn document(file: &str, text: &str) -> Result<document::Document, diagnostic::Diagnostics> {
    let raw: RawDocument = match serde_saphyr::from_str(text) {
        Ok(raw) => raw,
        Err(e) => return Err(syntax_error(file, &e)),
    };
    let mut checker = Checker {
        file,
        diagnostics: diagnostic::Diagnostics::default(),
    };
    let doc = checker.document(&raw);
    checker.diagnostics.into_result(doc)
}

/// Converts an error of the YAML decoder to one diagnostic.
pub fn syntax_error(file: &str, e: &serde_saphyr::Error) -> diagnostic::Diagnostics {
    let mut diagnostics = diagnostic::Diagnostics::default();
    let at = e.location();
    let location = diagnostic::Location {
        file: file.to_owned(),
        line: at.map_or(0, |l| l.line()),
        column: at.map_or(0, |l| l.column()),
    };
    let text = e.to_string();
    // Strip the location at the start of the library's message: the diagnostic has it already.
    let line = text.lines().next().unwrap_or("unreadable");
    let message = match line
        .strip_prefix("error: line ")
        .and_then(|l| l.split_once(": "))
    {
        Some((_, message)) => message,
        None => line,
    };
    diagnostics.add(
        location,
        message,
        "see docs/CONFIGURATION.md for the fields and their types",
    );
    diagnostics
}

/// Returns the location of a value that was decoded together with its position.
pub fn location_of<T>(file: &str, at: &Spanned<T>) -> diagnostic::Location {
    diagnostic::Location {
        file: file.to_owned(),
        line: at.referenced.line(),
        column: at.referenced.column(),
    }
}

/// Validates a decoded document and collects diagnostics.
struct Checker<'a> {
    file: &'a str,
    diagnostics: diagnostic::Diagnostics,
}

impl Checker<'_> {
    fn report<T>(&mut self, at: &Spanned<T>, message: String, hint: &str) {
        let location = location_of(self.file, at);
        self.diagnostics.add(location, message, hint);
    }

    /// Checks that a name is valid and not yet in `seen`, and adds it.
    fn check_name(
        &mut self,
        seen: &mut collections::HashSet<String>,
        kind: &str,
        at: &Spanned<String>,
    ) {
        if !name::is_valid(&at.value) {
            let message = format!("{kind} name {:?} is not valid", at.value);
            self.report(at, message, "use 1 to 64 letters, digits, '-', '_' or '.'");
        }
        if !seen.insert(at.value.clone()) {
            let message = format!("{kind} {:?} is defined twice", at.value);
            self.report(at, message, "remove or rename one of them");
        }
    }

    /// Checks that a referenced name is in `known`.
    fn check_reference(
        &mut self,
        known: &collections::HashSet<String>,
        kind: &str,
        at: &Spanned<String>,
    ) {
        if known.contains(&at.value) {
            return;
        }
        let message = format!("{kind} {:?} is not defined in this document", at.value);
        self.report(at, message, "define it or correct the name");
    }

    fn document(&mut self, raw: &RawDocument) -> document::Document {
        let mut classes = collections::HashSet::new();
        let mut teams = collections::HashSet::new();
        for c in &raw.classes {
            self.check_name(&mut classes, "class", &c.name);
        }
        for t in &raw.teams {
            self.check_name(&mut teams, "team", &t.name);
        }
        document::Document {
            classes: raw.classes.iter().map(|c| self.class(c)).collect(),
            teams: raw.teams.iter().map(|t| self.team(t, &classes)).collect(),
            services: self.services(&raw.services, &teams),
        }
    }

    fn class(&mut self, c: &RawClass) -> document::Class {
        if c.tier.value > MAX_TIER {
            self.report(
                &c.tier,
                format!("tier {} is out of range", c.tier.value),
                "use 0 to 7",
            );
        }
        if c.first_ms.value == 0 {
            self.report(
                &c.first_ms,
                "first_ms is 0".into(),
                "give the target in milliseconds",
            );
        }
        let floor = c.floor.as_ref().map_or(DEFAULT_FLOOR_SHARE, |f| f.value);
        if let Some(f) = &c.floor
            && !(MIN_FLOOR_SHARE..=MAX_FLOOR_SHARE).contains(&f.value)
        {
            self.report(
                f,
                format!("floor {} is out of range", f.value),
                "use 0.001 to 0.5; without a floor the class could starve",
            );
        }
        document::Class {
            name: c.name.value.as_str().into(),
            tier: c.tier.value,
            ttft_target: clock::Millis(c.first_ms.value),
            gap_target: clock::Millis(c.gap_ms),
            max_wait: clock::Millis(c.bound_ms),
            min_share: (floor * 1000.0) as u16,
            evictable: c.evictable,
        }
    }

    fn team(&mut self, t: &RawTeam, classes: &collections::HashSet<String>) -> document::Team {
        if t.classes.is_empty() {
            let message = format!("team {:?} has no class", t.name.value);
            self.report(
                &t.name,
                message,
                "list at least one; the first is its default",
            );
        }
        for c in &t.classes {
            self.check_reference(classes, "class", c);
        }
        if let Some(w) = &t.weight
            && w.value == 0
        {
            self.report(w, "weight is 0".into(), "use 1 or more");
        }
        document::Team {
            name: t.name.value.as_str().into(),
            weight: t.weight.as_ref().map_or(1, |w| w.value),
            classes: t.classes.iter().map(|c| c.value.as_str().into()).collect(),
        }
    }

    fn services(
        &mut self,
        raw: &[RawService],
        teams: &collections::HashSet<String>,
    ) -> Vec<document::Service> {
        let mut service_names = collections::HashSet::new();
        let mut model_names = collections::HashSet::new();
        let mut upstream_names = collections::HashSet::new();
        let mut out = Vec::new();
        for s in raw {
            self.check_name(&mut service_names, "service", &s.name);
            for m in &s.models {
                if !model_names.insert(m.value.clone()) {
                    let message = format!("model {:?} is listed twice", m.value);
                    self.report(m, message, "list it once, in the service that serves it");
                }
            }
            for t in &s.teams {
                self.check_reference(teams, "team", t);
            }
            if s.kind == document::ServiceKind::Engine && s.models.is_empty() {
                let message = format!("engine service {:?} has no model", s.name.value);
                self.report(&s.name, message, "list its models");
            }
            let upstreams = s
                .upstreams
                .iter()
                .map(|u| self.upstream(u, &mut upstream_names));
            let upstreams = upstreams.collect();
            out.push(service(s, upstreams));
        }
        out
    }

    fn upstream(
        &mut self,
        u: &RawUpstream,
        seen: &mut collections::HashSet<String>,
    ) -> document::Upstream {
        self.check_name(seen, "upstream", &u.name);
        if !name::is_valid(&u.dc.value) {
            let message = format!("data centre name {:?} is not valid", u.dc.value);
            self.report(
                &u.dc,
                message,
                "use 1 to 64 letters, digits, '-', '_' or '.'",
            );
        }
        if u.slots.value == 0 || u.slots.value > MAX_SLOTS {
            let message = format!("slots {} is out of range", u.slots.value);
            self.report(&u.slots, message, "use 1 to 65536");
        }
        let address = match u.address.value.parse() {
            Ok(address) => address,
            Err(_) => {
                let message = format!("address {:?} is not IP:PORT", u.address.value);
                self.report(&u.address, message, "use an address such as 10.0.0.7:8000");
                net::SocketAddr::from(([0, 0, 0, 0], 0))
            }
        };
        document::Upstream {
            name: u.name.value.as_str().into(),
            dc: u.dc.value.as_str().into(),
            address,
            slots: u.slots.value,
            price: u.price,
            preemptible: u.cheap,
            managed: u.ordered,
        }
    }
}

fn service(s: &RawService, upstreams: Vec<document::Upstream>) -> document::Service {
    let engine = s.kind == document::ServiceKind::Engine;
    document::Service {
        name: s.name.value.as_str().into(),
        kind: s.kind,
        models: s.models.iter().map(|m| m.value.clone()).collect(),
        open: s.open,
        teams: s.teams.iter().map(|t| t.value.as_str().into()).collect(),
        idempotent: s.idempotent.unwrap_or(engine),
        upstreams,
    }
}
