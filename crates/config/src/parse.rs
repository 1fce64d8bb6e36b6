//! Reading a YAML document, with every fault of its content reported at once.

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
    kind: document::Kind,
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

const DEFAULT_BOUND_MS: u64 = 30_000;
const MAX_TIER: u8 = 7;
const MIN_FLOOR: f64 = 0.001;
const MAX_FLOOR: f64 = 0.5;
const DEFAULT_FLOOR: f64 = 0.02;
const MAX_SLOTS: u32 = 65_536;

fn default_bound() -> u64 {
    DEFAULT_BOUND_MS
}

fn yes() -> bool {
    true
}

/// Reads and checks the YAML `text` of `file`.
///
/// # Errors
///
/// All faults of the content, or the first fault of the syntax, each with its place.
pub fn document(file: &str, text: &str) -> Result<document::Document, diagnostic::Diagnostics> {
    let raw: RawDocument = match serde_saphyr::from_str(text) {
        Ok(raw) => raw,
        Err(e) => return Err(syntax_error(file, &e)),
    };
    let mut check = Check {
        file,
        findings: diagnostic::Diagnostics::default(),
    };
    let doc = check.document(&raw);
    check.findings.into_result(doc)
}

/// One finding for a fault of syntax.
pub fn syntax_error(file: &str, e: &serde_saphyr::Error) -> diagnostic::Diagnostics {
    let mut findings = diagnostic::Diagnostics::default();
    let at = e.location();
    let place = diagnostic::Location {
        file: file.to_owned(),
        line: at.map_or(0, |l| l.line()),
        column: at.map_or(0, |l| l.column()),
    };
    let text = e.to_string();
    // The library's text begins with the place, which the finding tells already.
    let line = text.lines().next().unwrap_or("unreadable");
    let fault = match line
        .strip_prefix("error: line ")
        .and_then(|l| l.split_once(": "))
    {
        Some((_, fault)) => fault,
        None => line,
    };
    findings.add(
        place,
        fault,
        "see docs/CONFIGURATION.md for the fields and their types",
    );
    findings
}

/// The place of a value read with its span.
pub fn location_of<T>(file: &str, at: &Spanned<T>) -> diagnostic::Location {
    diagnostic::Location {
        file: file.to_owned(),
        line: at.referenced.line(),
        column: at.referenced.column(),
    }
}

struct Check<'a> {
    file: &'a str,
    findings: diagnostic::Diagnostics,
}

impl Check<'_> {
    fn fault<T>(&mut self, at: &Spanned<T>, fault: String, mend: &str) {
        let place = location_of(self.file, at);
        self.findings.add(place, fault, mend);
    }

    fn name(&mut self, seen: &mut collections::HashSet<String>, what: &str, at: &Spanned<String>) {
        if !name::is_valid(&at.value) {
            let fault = format!("{what} name {:?} is not valid", at.value);
            self.fault(at, fault, "use 1 to 64 letters, digits, '-', '_' or '.'");
        }
        if !seen.insert(at.value.clone()) {
            let fault = format!("{what} {:?} stands twice", at.value);
            self.fault(at, fault, "remove or rename one of them");
        }
    }

    fn known(&mut self, known: &collections::HashSet<String>, what: &str, at: &Spanned<String>) {
        if known.contains(&at.value) {
            return;
        }
        let fault = format!("{what} {:?} is not in this document", at.value);
        self.fault(at, fault, "add it or correct the name");
    }

    fn document(&mut self, raw: &RawDocument) -> document::Document {
        let mut classes = collections::HashSet::new();
        let mut teams = collections::HashSet::new();
        for c in &raw.classes {
            self.name(&mut classes, "class", &c.name);
        }
        for t in &raw.teams {
            self.name(&mut teams, "team", &t.name);
        }
        document::Document {
            classes: raw.classes.iter().map(|c| self.class(c)).collect(),
            teams: raw.teams.iter().map(|t| self.team(t, &classes)).collect(),
            services: self.services(&raw.services, &teams),
        }
    }

    fn class(&mut self, c: &RawClass) -> document::Class {
        if c.tier.value > MAX_TIER {
            self.fault(
                &c.tier,
                format!("tier {} is too low", c.tier.value),
                "use 0 to 7",
            );
        }
        if c.first_ms.value == 0 {
            self.fault(
                &c.first_ms,
                "first_ms is 0".into(),
                "give the target in milliseconds",
            );
        }
        let floor = c.floor.as_ref().map_or(DEFAULT_FLOOR, |f| f.value);
        if let Some(f) = &c.floor
            && !(MIN_FLOOR..=MAX_FLOOR).contains(&f.value)
        {
            self.fault(
                f,
                format!("floor {} is out of range", f.value),
                "use 0.001 to 0.5: without a floor the class could starve",
            );
        }
        document::Class {
            name: c.name.value.as_str().into(),
            tier: c.tier.value,
            first: clock::Millis(c.first_ms.value),
            gap: clock::Millis(c.gap_ms),
            bound: clock::Millis(c.bound_ms),
            floor: (floor * 1000.0) as u16,
            evictable: c.evictable,
        }
    }

    fn team(&mut self, t: &RawTeam, classes: &collections::HashSet<String>) -> document::Team {
        if t.classes.is_empty() {
            let fault = format!("team {:?} has no class", t.name.value);
            self.fault(
                &t.name,
                fault,
                "list at least one; the first is its default",
            );
        }
        for c in &t.classes {
            self.known(classes, "class", c);
        }
        if let Some(w) = &t.weight
            && w.value == 0
        {
            self.fault(w, "weight is 0".into(), "use 1 or more");
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
        let mut names = collections::HashSet::new();
        let mut models = collections::HashSet::new();
        let mut upstreams = collections::HashSet::new();
        let mut out = Vec::new();
        for s in raw {
            self.name(&mut names, "service", &s.name);
            for m in &s.models {
                if !models.insert(m.value.clone()) {
                    let fault = format!("model {:?} is served twice", m.value);
                    self.fault(m, fault, "let one service serve it");
                }
            }
            for t in &s.teams {
                self.known(teams, "team", t);
            }
            if s.kind == document::Kind::Engine && s.models.is_empty() {
                let fault = format!("engine service {:?} has no model", s.name.value);
                self.fault(&s.name, fault, "list its models");
            }
            let ups = s.upstreams.iter().map(|u| self.upstream(u, &mut upstreams));
            let ups = ups.collect();
            out.push(service(s, ups));
        }
        out
    }

    fn upstream(
        &mut self,
        u: &RawUpstream,
        seen: &mut collections::HashSet<String>,
    ) -> document::Upstream {
        self.name(seen, "upstream", &u.name);
        if !name::is_valid(&u.dc.value) {
            let fault = format!("data centre name {:?} is not valid", u.dc.value);
            self.fault(&u.dc, fault, "use 1 to 64 letters, digits, '-', '_' or '.'");
        }
        if u.slots.value == 0 || u.slots.value > MAX_SLOTS {
            let fault = format!("slots {} is out of range", u.slots.value);
            self.fault(&u.slots, fault, "use 1 to 65536");
        }
        let address = match u.address.value.parse() {
            Ok(address) => address,
            Err(_) => {
                let fault = format!("address {:?} is not IP:PORT", u.address.value);
                self.fault(&u.address, fault, "write for example 10.0.0.7:8000");
                net::SocketAddr::from(([0, 0, 0, 0], 0))
            }
        };
        document::Upstream {
            name: u.name.value.as_str().into(),
            dc: u.dc.value.as_str().into(),
            address,
            slots: u.slots.value,
            price: u.price,
            cheap: u.cheap,
            ordered: u.ordered,
        }
    }
}

fn service(s: &RawService, upstreams: Vec<document::Upstream>) -> document::Service {
    let engine = s.kind == document::Kind::Engine;
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
