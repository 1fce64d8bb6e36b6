//! The `platform --check` command: reports errors of the settings file and of a manifest, and what would
//! change.

use std::path;

use adapter::{check, settings};
use base::findings;

use crate::{cli, exit_codes};

/// Checks the settings `file` and the manifest, if one is given, and prints the report.
pub fn run(args: &cli::Platform, file: &path::Path) -> exit_codes::ExitCode {
    let mut report = findings::Report::default();
    let settings = settings::read(file);
    if let Err(diagnostics) = &settings {
        report.add_diagnostics(diagnostics);
    }
    let regions = settings.ok().map(|s| {
        let regions = s.host.location.regions.into_iter();
        let names = regions.map(|(dc, region)| (dc.to_string(), region.to_string()));
        names.collect::<check::Regions>()
    });
    if let Some(manifest) = &args.manifest {
        let found = check::check(manifest, args.against.as_deref(), regions.as_ref());
        report.findings.extend(found.findings);
        report.changes = found.changes;
    }
    let checked = args.manifest.as_deref().unwrap_or(file);
    let is_printed = report.print(&checked.display().to_string(), args.json);
    if report.has_errors() {
        return exit_codes::ExitCode::Usage;
    }
    match is_printed {
        Ok(()) => exit_codes::ExitCode::Success,
        Err(e) => {
            eprintln!("jacinthslip: the result can't be printed: {e}");
            exit_codes::ExitCode::Failure
        }
    }
}
