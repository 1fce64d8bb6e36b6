//! Runs one case of the review: `rig CASE FOLDER TROUBLE`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case couldn't run.

mod drained_after_restore;
mod foreign_entry;
mod gone_after_outage;
mod http;
mod json;
mod old_head;
mod paused_stream;
mod record;
mod site;
mod store;

/// What came of a case.
pub enum Verdict {
    Held,
    Broken,
    /// The case couldn't run, with the reason.
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = &args[..] else {
        eprintln!("usage: rig CASE FOLDER TROUBLE");
        std::process::exit(2);
    };
    let record = std::sync::Arc::new(record::Record::create(folder));
    let trouble = trouble != "0";
    record.line(&format!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "drained-after-restore" => drained_after_restore::run(&record, trouble),
        "foreign-entry" => foreign_entry::run(&record, trouble),
        "old-head" => old_head::run(&record, trouble),
        "gone-after-outage" => gone_after_outage::run(&record, trouble),
        "paused-stream" => paused_stream::run(&record, trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    std::process::exit(code);
}
