//! The command that serves on the users' platform: settings, ports and runtime are put together.

use std::env;
use std::path;
use std::rc;

use adapter::{cloud, protocol, settings, store};
use base::clock;
use router::{host, lifecycle};
use tokio::task;

use crate::{cli, exit_codes, logs};

/// Serves until SIGTERM.
pub fn run(flags: &cli::Platform) -> exit_codes::ExitCode {
    let named = env::var_os(settings::PATH_VARIABLE).map(path::PathBuf::from);
    let Some(file) = flags.settings.clone().or(named) else {
        eprintln!(
            "jacinthslip: no settings file. Give --settings FILE or set {}.",
            settings::PATH_VARIABLE
        );
        return exit_codes::ExitCode::Usage;
    };
    let settings = match settings::read(&file) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return exit_codes::ExitCode::Usage;
        }
    };
    if flags.check {
        println!("{}: no fault found", file.display());
        return exit_codes::ExitCode::Success;
    }
    let _logs = logs::start();
    match serve(settings, &file) {
        Ok(()) => exit_codes::ExitCode::Success,
        Err(e) => {
            tracing::error!(event = "start_failed", error = %e, mend = "correct the settings");
            exit_codes::ExitCode::Failure
        }
    }
}

fn serve(settings: settings::Settings, file: &path::Path) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let fresh = settings.bootstrap;
    let host = rc::Rc::new(build(settings)?);
    let reload = || match settings::read(file) {
        Ok(_) => tracing::info!(event = "reload", outcome = "kept_until_restart"),
        Err(findings) => tracing::error!(event = "reload", outcome = "unreadable", %findings),
    };
    let local = task::LocalSet::new();
    local.block_on(&runtime, lifecycle::run(host, fresh, reload))?;
    Ok(())
}

fn build(settings: settings::Settings) -> eyre::Result<host::Host> {
    let name = settings.host.host.clone();
    let around = host::Dependencies {
        dialect: Box::new(protocol::PlatformProtocol),
        store: Box::new(store::StoreClient::new(settings.store_address)),
        orders: Box::new(cloud::CloudClient::new(
            settings.cloud_address,
            name.as_str(),
        )),
        clock: clock::Clock::System,
    };
    host::Host::new(settings.host, around)
}
