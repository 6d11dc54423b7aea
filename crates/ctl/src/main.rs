//! `bitternctl`: the command line for operators and callers.

mod args;
mod callers;
mod error;
mod operators;
mod trace;

use std::process::ExitCode;

use args::{Args, Command};

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = smol::block_on(async {
        match &args.command {
            Command::Config(config) => operators::config(config, args.json).await,
            Command::Status(status) => operators::status(status, args.json).await,
            Command::Counters(counters) => operators::counters(counters, args.json).await,
            Command::Drain(drain) => operators::drain(drain, args.json).await,
            Command::Job(job) => callers::job(job, args.json).await,
            Command::Codes(_) => {
                operators::codes();
                Ok(())
            }
            Command::Trace(trace) => trace::print(trace),
            Command::Key(key) => {
                operators::key(key);
                Ok(())
            }
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("bitternctl: {e}");
            ExitCode::FAILURE
        }
    }
}
