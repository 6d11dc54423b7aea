//! `bitternctl`: the command line tool for operators and callers.
//!
//! Operators use it to publish the environment document and to inspect or
//! drain a daemon, callers to submit batch jobs. Each command is one request
//! or a few to one daemon. Errors go to standard error, and the exit status
//! says whether the command succeeded.

mod admin;
mod args;
mod error;
mod jobs;
mod trace;

use std::process::ExitCode;

use args::{Args, Command};

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = smol::block_on(async {
        match &args.command {
            Command::Config(config) => admin::config(config, args.json).await,
            Command::Status(status) => admin::status(status, args.json).await,
            Command::Counters(counters) => admin::counters(counters, args.json).await,
            Command::Drain(drain) => admin::drain(drain, args.json).await,
            Command::Job(job) => jobs::run(job, args.json).await,
            Command::Codes(_) => {
                admin::codes();
                Ok(())
            }
            Command::Trace(trace) => trace::run(trace),
            Command::Key(key) => {
                admin::key(key);
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
