//! Review of a valid document: entries without effect, shares that contradict each other, and differences
//! from another document.

use std::collections;

use base::{findings, name};
use config::document;

use crate::error;

/// Lists of a document that hold named entries, and what an entry is called.
const LISTS: [(&str, &str); 3] = [
    ("classes", "class"),
    ("teams", "team"),
    ("services", "service"),
];

/// Adds what is wrong with a document whose entries are valid by themselves.
pub(crate) fn add_findings(doc: &document::Document, file: &str, report: &mut findings::Report) {
    let mut warn = |entry: String, message: &str, remedy: &str| {
        let place = format!("{file} {entry}");
        report.add(findings::Severity::Warning, place, message, remedy);
    };
    let used: collections::HashSet<&name::Class> =
        doc.teams.iter().flat_map(|t| &t.classes).collect();
    for class in doc.classes.iter().filter(|c| !used.contains(&c.name)) {
        let entry = format!("class {}", class.name);
        warn(entry, "no team uses it", "list it in a team, or remove it");
    }
    for service in &doc.services {
        let entry = format!("service {}", service.name);
        if service.upstreams.is_empty() {
            warn(entry, "has no upstream", "add one, or remove the service");
        }
    }
    let floors: u32 = doc.classes.iter().map(|c| u32::from(c.min_share)).sum();
    if floors > 1_000 {
        let share = f64::from(floors) / 1_000.0;
        let message = format!("the floors of all classes add up to {share}, more than all slots");
        let place = format!("{file} classes");
        let remedy = "lower them to a sum of 1 or less";
        report.add(findings::Severity::Warning, place, message, remedy);
    }
}

/// Returns the differences between two documents.
pub(crate) fn differences(
    old: &document::Document,
    new: &document::Document,
) -> Result<Vec<findings::Change>, error::Error> {
    let encode = |doc| serde_json::to_value(doc).map_err(|e| error::Error::Output(e.into()));
    Ok(findings::differences(&encode(old)?, &encode(new)?, &LISTS))
}
