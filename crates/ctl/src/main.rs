//! The operators' program: `jacinthctl check|diff|apply|promote|status|history|issue|withdraw|block`.

mod change;
mod cli;
mod exit_codes;
mod fault;
mod key;
mod show;

use std::process;

fn main() -> process::ExitCode {
    let flags = cli::Jacinthctl::from_env_or_exit();
    let done = match &flags.subcommand {
        cli::JacinthctlCmd::Check(c) => show::check(&c.file),
        cli::JacinthctlCmd::Diff(d) => show::diff(d),
        cli::JacinthctlCmd::Apply(a) => change::apply(a),
        cli::JacinthctlCmd::Promote(p) => change::promote(p),
        cli::JacinthctlCmd::Status(s) => show::status(s),
        cli::JacinthctlCmd::History(h) => show::history(h),
        cli::JacinthctlCmd::Issue(i) => key::issue(i),
        cli::JacinthctlCmd::Block(b) => key::block(b),
        cli::JacinthctlCmd::Withdraw(w) => key::withdraw(w),
    };
    match done {
        Ok(()) => exit_codes::ExitCode::Success.into(),
        Err(fault) => {
            eprintln!("{fault}");
            fault.code().into()
        }
    }
}
