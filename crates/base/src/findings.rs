//! Findings of a configuration check, and differences between two versions, as text and as JSON.

use std::collections;
use std::fmt;
use std::io::{self, Write as _};

use serde::Serialize;
use serde_json::Value;

use crate::diagnostic;

/// Longest value that is printed in full, in characters.
const MAX_VALUE_CHARS: usize = 200;
/// Parts of the names of fields whose contents are never printed. They also cover misspelt names of the
/// field with API keys.
const SECRET_NAMES: [&str; 3] = ["key", "secret", "password"];

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The configuration must not be deployed.
    Error,
    /// The configuration is valid, but part of it has no effect.
    Warning,
}

/// One finding.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// File, and the entry and field within it.
    pub place: String,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    pub remedy: String,
}

/// A field that differs. Values are JSON; `None` if the field is absent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FieldChange {
    /// Path of the field within its entry.
    pub field: String,
    /// Value in the version in force.
    pub old: Option<String>,
    /// Value in the checked version.
    pub new: Option<String>,
}

/// An entry that differs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// The entry is new.
    Added {
        /// Kind and name of the entry.
        entry: String,
    },
    /// The entry is gone.
    Removed {
        /// Kind and name of the entry.
        entry: String,
    },
    /// Fields of the entry differ.
    Changed {
        /// Kind and name of the entry.
        entry: String,
        /// Fields that differ, sorted by path.
        fields: Vec<FieldChange>,
    },
}

/// Result of a check.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Report {
    /// All findings.
    pub findings: Vec<Finding>,
    /// Differences from the version in force; `None` if it was not compared.
    pub changes: Option<Vec<Change>>,
}

impl Report {
    /// Adds a finding.
    pub fn add(
        &mut self,
        severity: Severity,
        place: impl Into<String>,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.findings.push(Finding {
            severity,
            place: place.into(),
            message: message.into(),
            remedy: remedy.into(),
        });
    }

    /// Adds diagnostics as errors.
    pub fn add_diagnostics(&mut self, diagnostics: &diagnostic::Diagnostics) {
        for d in &diagnostics.0 {
            let place = d.location.to_string();
            self.add(Severity::Error, place, &d.message, &d.hint);
        }
    }

    /// Replaces each of `secrets` in the messages, which may quote what was read. A secret is given with
    /// the quotes that messages put around it.
    pub fn conceal(&mut self, secrets: &[String]) {
        for finding in &mut self.findings {
            for secret in secrets {
                if finding.message.contains(secret) {
                    finding.message = finding.message.replace(secret, "(not shown)");
                }
            }
        }
    }

    /// Prints the report about `file`: as JSON on standard output, or as text, with the findings on
    /// standard error.
    ///
    /// # Errors
    ///
    /// Standard output can't be written.
    pub fn print(&self, file: &str, as_json: bool) -> io::Result<()> {
        let mut out = io::stdout().lock();
        if as_json {
            return writeln!(out, "{}", self.to_json()?);
        }
        for finding in &self.findings {
            eprintln!("{finding}");
        }
        for change in self.changes.iter().flatten() {
            writeln!(out, "{change}")?;
        }
        if self.changes.as_ref().is_some_and(Vec::is_empty) {
            writeln!(out, "{file}: no difference")?;
        }
        if !self.has_errors() {
            writeln!(out, "{file}: no fault found")?;
        }
        Ok(())
    }

    /// Whether the configuration must not be deployed.
    pub fn has_errors(&self) -> bool {
        self.findings.iter().any(|f| f.severity == Severity::Error)
    }

    /// The report as one line of JSON.
    ///
    /// # Errors
    ///
    /// The report can't be encoded.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.severity {
            Severity::Error => "",
            Severity::Warning => "warning: ",
        };
        write!(
            f,
            "{}: {kind}{} ({})",
            self.place, self.message, self.remedy
        )
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (entry, fields) = match self {
            Self::Added { entry } => return write!(f, "+ {entry}"),
            Self::Removed { entry } => return write!(f, "- {entry}"),
            Self::Changed { entry, fields } => (entry, fields),
        };
        write!(f, "~ {entry}")?;
        for change in fields {
            let old = change.old.as_deref().unwrap_or("absent");
            let new = change.new.as_deref().unwrap_or("absent");
            write!(f, "\n    {}: {old} -> {new}", change.field)?;
        }
        Ok(())
    }
}

/// Returns the differences between two versions of a configuration. `lists` names the fields that hold
/// lists of entries with a `name`, and what one entry is called; other fields count as one entry.
pub fn differences(old: &Value, new: &Value, lists: &[(&str, &str)]) -> Vec<Change> {
    let mut changes = Vec::new();
    let (mut old_rest, mut new_rest) = (old.clone(), new.clone());
    for (field, kind) in lists {
        let take = |rest: &mut Value| {
            let list = rest.as_object_mut().and_then(|r| r.remove(*field));
            entries(kind, list)
        };
        let (old_entries, new_entries) = (take(&mut old_rest), take(&mut new_rest));
        for (entry, value) in &old_entries {
            match new_entries.get(entry) {
                None => changes.push(Change::Removed {
                    entry: entry.clone(),
                }),
                Some(new_value) => compare(entry, value, new_value, &mut changes),
            }
        }
        for entry in new_entries.keys().filter(|e| !old_entries.contains_key(*e)) {
            changes.push(Change::Added {
                entry: entry.clone(),
            });
        }
    }
    compare("general", &old_rest, &new_rest, &mut changes);
    changes
}

/// Entries of a list by kind and name. Those that share a name are numbered from the second on.
fn entries(kind: &str, list: Option<Value>) -> collections::BTreeMap<String, Value> {
    let mut found = collections::BTreeMap::new();
    let mut counts: collections::HashMap<String, usize> = collections::HashMap::new();
    let Some(Value::Array(list)) = list else {
        return found;
    };
    for value in list {
        let name = value.get("name").and_then(Value::as_str).unwrap_or("");
        let mut label = format!("{kind} {name:?}");
        let count = counts.entry(label.clone()).or_default();
        *count += 1;
        if *count > 1 {
            label = format!("{label} ({count})");
        }
        found.insert(label, value);
    }
    found
}

fn compare(entry: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    let (mut old_fields, mut new_fields) = Default::default();
    flatten("", old, &mut old_fields);
    flatten("", new, &mut new_fields);
    let names: collections::BTreeSet<&String> =
        old_fields.keys().chain(new_fields.keys()).collect();
    let mut fields = Vec::new();
    for name in names {
        let (old, new) = (old_fields.get(name), new_fields.get(name));
        if old == new {
            continue;
        }
        let lower_name = name.to_ascii_lowercase();
        let is_secret = SECRET_NAMES.iter().any(|s| lower_name.contains(s));
        let show = |value: Option<&&Value>, other: Option<&&Value>| {
            value.map(|v| match is_secret {
                true => describe_secrets(v, other.copied()),
                false => shorten(&v.to_string()),
            })
        };
        fields.push(FieldChange {
            field: name.clone(),
            old: show(old, new),
            new: show(new, old),
        });
    }
    if !fields.is_empty() {
        let entry = entry.to_owned();
        changes.push(Change::Changed { entry, fields });
    }
}

/// Collects the fields of an object by their paths. Lists of objects are numbered; other lists are one
/// field.
fn flatten<'a>(
    path: &str,
    value: &'a Value,
    fields: &mut collections::BTreeMap<String, &'a Value>,
) {
    let child = |name: &str| match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    match value {
        Value::Object(object) if !object.is_empty() => {
            for (name, value) in object {
                flatten(&child(name), value, fields);
            }
        }
        Value::Array(items) if !items.is_empty() && items.iter().all(Value::is_object) => {
            for (n, item) in items.iter().enumerate() {
                flatten(&format!("{path}[{n}]"), item, fields);
            }
        }
        _ => {
            fields.insert(path.to_owned(), value);
        }
    }
}

/// How many secrets there are, and how many of them are not in `other`.
fn describe_secrets(value: &Value, other: Option<&Value>) -> String {
    let secrets = |v: Option<&Value>| -> collections::BTreeSet<String> {
        match v {
            Some(Value::Array(list)) => list.iter().map(Value::to_string).collect(),
            other => other.iter().map(ToString::to_string).collect(),
        }
    };
    let (own, other) = (secrets(Some(value)), secrets(other));
    let only = own.difference(&other).count();
    format!("{} keys, {only} only here", own.len())
}

fn shorten(text: &str) -> String {
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text.to_owned();
    }
    let start: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{start}...")
}
