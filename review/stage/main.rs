//! Stand-ins and drivers of the cases of the review. `stage CASE FOLDER` plays a case and writes
//! `record.txt` into the folder; it ends with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod draining;
mod fleet;
mod http;
mod lots;
mod quota;
mod relabelled;
mod replica;
mod store;
mod taken_up;
mod weights;
mod tokens;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    if case == "replica" {
        let options = replica::Options::parse(arguments);
        let ended = options.map(replica::run);
        return if matches!(ended, Some(Ok(()))) { ExitCode::SUCCESS } else { ExitCode::from(2) };
    }
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".into()));
    let verdict = match case.as_str() {
        "taken-up" => taken_up::play(&folder),
        "relabelled" => relabelled::play(&folder),
        "tokens" => tokens::play(&folder),
        "draining" => draining::play(&folder),
        "weights" => weights::play(&folder),
        "quota" => quota::play(&folder),
        _ => Verdict::CouldNotRun,
    };
    println!("{verdict:?}");
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::CouldNotRun => ExitCode::from(2),
    }
}
