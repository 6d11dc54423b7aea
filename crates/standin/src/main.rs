//! `bitterncart-standin`: runs one stand-in as a separate process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use bitterncart_standin::engine::{Engine, Model};
use bitterncart_standin::instances::Instances;
use bitterncart_standin::log::{Limits, Log};
use bitterncart_standin::service::Service;
use bitterncart_standin::weights::Store;
use bitterncart_standin::{Handle, start};
use bitterncart_transport::Error;

/// Run a stand-in for one of the external systems that a daemon depends on.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Kind {
    Log(LogArgs),
    Instances(InstancesArgs),
    Engine(EngineArgs),
    Service(ServiceArgs),
    Weights(WeightsArgs),
}

/// log service
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct LogArgs {
    /// address on which to listen
    #[argh(positional)]
    address: SocketAddr,
    /// maximum appends per second
    #[argh(option, default = "300")]
    appends_per_s: u32,
    /// retention time of entries, in seconds
    #[argh(option, default = "604800")]
    retention_s: u64,
}

/// instance list
#[derive(FromArgs)]
#[argh(subcommand, name = "instances")]
struct InstancesArgs {
    /// address on which to listen
    #[argh(positional)]
    address: SocketAddr,
    /// JSON file with the initial list
    #[argh(positional)]
    list: PathBuf,
    /// delay until a change is visible, in milliseconds
    #[argh(option, default = "2000")]
    lag_ms: u64,
}

/// inference engine
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address on which to listen
    #[argh(positional)]
    address: SocketAddr,
    /// maximum number of concurrent sequences
    #[argh(option, default = "32")]
    max_sequences: usize,
    /// accept orders with an outdated fencing number
    #[argh(switch)]
    unchecked: bool,
}

/// plain service
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// address on which to listen
    #[argh(positional)]
    address: SocketAddr,
}

/// weight store
#[derive(FromArgs)]
#[argh(subcommand, name = "weights")]
struct WeightsArgs {
    /// address on which to listen
    #[argh(positional)]
    address: SocketAddr,
    /// duration of one load, in milliseconds
    #[argh(option, default = "1000")]
    each_ms: u64,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match start_standin(args.kind) {
        Ok(handle) => {
            println!("listening on {}", handle.address);
            loop {
                std::thread::park();
            }
        }
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn start_standin(kind: Kind) -> Result<Handle, String> {
    let message = |e: Error| e.to_string();
    match kind {
        Kind::Log(args) => {
            let limits = Limits {
                appends_per_s: args.appends_per_s,
                retention: Duration::from_secs(args.retention_s),
            };
            start(args.address, |_| Log::new(limits)).map_err(message)
        }
        Kind::Instances(args) => {
            let path = args.list.display();
            let json = std::fs::read_to_string(&args.list)
                .map_err(|e| format!("{path}: failed to read file: {e}"))?;
            let list = serde_json::from_str(&json)
                .map_err(|e| format!("{path}: invalid list of instances: {e}"))?;
            let lag = Duration::from_millis(args.lag_ms);
            start(args.address, |_| Instances::new(lag, list)).map_err(message)
        }
        Kind::Engine(args) => {
            let model = Model {
                max_sequences: args.max_sequences,
                checks_fencing: !args.unchecked,
                ..Model::default()
            };
            start(args.address, |runtime| Engine::new(runtime, model)).map_err(message)
        }
        Kind::Service(args) => start(args.address, |_| Service::default()).map_err(message),
        Kind::Weights(args) => {
            let load_time = Duration::from_millis(args.each_ms);
            start(args.address, |_| Store::new(load_time)).map_err(message)
        }
    }
}
