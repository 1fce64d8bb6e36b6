//! Runs one case of the review: `rig CASE FOLDER`, from the root of the repository. As `rig worker
//! ADDRESS KIND FRAMING` it is a worker of such a case.
//!
//! Writes `record.txt` into FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod crash;
mod endless;
mod host;
mod http;
mod json;
mod late_request;
mod leaving;
mod record;
mod site;
mod slow_reader;
mod socket;
mod store;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Result of a case that could run.
pub enum Outcome {
    Held,
    Broken,
}

impl Outcome {
    pub fn broken_if(broken: bool) -> Self {
        if broken { Self::Broken } else { Self::Held }
    }
}

/// What all cases need: the platform's stand-ins, the record and a temporary folder.
pub struct Rig {
    pub store: Arc<store::Store>,
    pub record: Arc<record::Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
    root: PathBuf,
    folder: PathBuf,
    store_address: SocketAddr,
    cloud: SocketAddr,
}

impl Rig {
    fn start(folder: &Path) -> std::io::Result<Self> {
        let record = Arc::new(record::Record::create(&folder.join("record.txt"))?);
        let (store, store_address) = store::Store::start();
        store.put("op/config", &site::manifest(7));
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary)?;
        Ok(Self {
            store,
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            root: std::env::current_dir()?,
            folder: temporary,
            store_address,
            cloud: store::start_cloud(record.clone()),
            record,
        })
    }

    pub fn site(&self) -> host::Site<'_> {
        host::Site {
            root: &self.root,
            folder: &self.folder,
            store: self.store_address,
            cloud: self.cloud,
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            // The folder only holds the settings files and logs of hosts that have ended.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if let [_, word, address, kind, framing] = &args[..]
        && word == "worker"
    {
        let ended = crash::run_worker(address, kind, framing);
        return ExitCode::from(if ended.is_ok() { 0 } else { 2 });
    }
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let run = match case.as_str() {
        "crash" => crash::run,
        "crash_first" => crash::run_first_part,
        "crash_parts" => crash::run_many_parts,
        "endless" => endless::run,
        "leaving" => leaving::run,
        "slow_reader" => slow_reader::run,
        "late_request" => late_request::run,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    let rig = match Rig::start(Path::new(folder)) {
        Ok(rig) => rig,
        Err(e) => {
            eprintln!("can't start: {e}");
            return ExitCode::from(2);
        }
    };
    rig.record
        .line(&format!("case    {case}, disruption: {}", rig.trouble));
    let result = run(&rig);
    let (text, code) = match result {
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Ok(Outcome::Broken) => ("the rule was broken".to_owned(), 1),
        Err(e) => (format!("could not run: {e}"), 2),
    };
    rig.record.line(&format!("result  {text}"));
    println!("{case}: {text}");
    ExitCode::from(code)
}
