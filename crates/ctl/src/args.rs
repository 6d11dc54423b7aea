//! Command line arguments.
//!
//! The doc comments are the help texts that `--help` prints. Subcommands are
//! named after what they act on: the environment document, a daemon, batch
//! jobs, result codes, keys and log files.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Operate bitterncart and send it batch jobs.
#[derive(FromArgs)]
pub(crate) struct Args {
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Config(Config),
    Status(Status),
    Counters(Counters),
    Drain(Drain),
    Job(Job),
    Codes(Codes),
    Key(Key),
    Trace(Trace),
}

/// check, compare and publish the environment document
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct Config {
    #[argh(subcommand)]
    pub(crate) action: ConfigAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ConfigAction {
    Check(Check),
    Diff(Diff),
    Publish(Publish),
    Show(Show),
    History(History),
}

/// check a document and print its digest
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// path of the document
    #[argh(positional)]
    pub(crate) document: PathBuf,
}

/// list the differences between a document and the one in force
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// path of the document
    #[argh(positional)]
    pub(crate) document: PathBuf,
    /// address of a daemon's administration API
    #[argh(option)]
    pub(crate) admin: SocketAddr,
}

/// publish a document as the successor of a version
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct Publish {
    /// path of the document
    #[argh(positional)]
    pub(crate) document: PathBuf,
    /// address of a daemon's administration API
    #[argh(option)]
    pub(crate) admin: SocketAddr,
    /// version that the document is based on; 0 for the first publication
    #[argh(option)]
    pub(crate) base: u64,
    /// name of the operator, for the history
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) operator: String,
    /// expected digest, as printed by `config check` when the document was tested
    #[argh(option)]
    pub(crate) digest: Option<String>,
}

/// print the document in force
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    /// address of a daemon's administration API
    #[argh(option)]
    pub(crate) admin: SocketAddr,
}

/// list the versions that the log still holds
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// address of a daemon's administration API
    #[argh(option)]
    pub(crate) admin: SocketAddr,
}

/// print the status of a daemon
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// address of a daemon's administration API
    #[argh(option)]
    pub(crate) admin: SocketAddr,
}

/// print the counters of a daemon
#[derive(FromArgs)]
#[argh(subcommand, name = "counters")]
pub(crate) struct Counters {
    /// address of a daemon's administration API
    #[argh(option)]
    pub(crate) admin: SocketAddr,
}

/// drain a daemon: it finishes its requests and exits
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// address of a daemon's administration API
    #[argh(option)]
    pub(crate) admin: SocketAddr,
}

/// list the result codes
#[derive(FromArgs)]
#[argh(subcommand, name = "codes")]
pub(crate) struct Codes {}

/// print the digest of a customer's API key, for use in the document
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct Key {
    /// API key
    #[argh(positional)]
    pub(crate) key: String,
}

/// submit and manage batch jobs
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct Job {
    #[argh(subcommand)]
    pub(crate) action: JobAction,
    /// address of a daemon's callers' API
    #[argh(option)]
    pub(crate) daemon: SocketAddr,
    /// customer's API key
    #[argh(option)]
    pub(crate) key: String,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum JobAction {
    Submit(Submit),
    Status(JobStatus),
    Results(Results),
    Cancel(Cancel),
}

/// submit a file of JSON lines as a job
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct Submit {
    /// path of a file of JSON lines
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// API path that the lines request
    #[argh(option, default = "String::from(\"/v1/chat/completions\")")]
    pub(crate) endpoint: String,
    /// time from submission to the deadline, such as 8h
    #[argh(option)]
    pub(crate) window: Option<String>,
    /// idempotency key
    #[argh(option)]
    pub(crate) idempotency_key: Option<String>,
}

/// print the status of a job
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct JobStatus {
    /// job id
    #[argh(positional)]
    pub(crate) id: String,
}

/// print the results of a job as JSON lines
#[derive(FromArgs)]
#[argh(subcommand, name = "results")]
pub(crate) struct Results {
    /// job id
    #[argh(positional)]
    pub(crate) id: String,
}

/// cancel a job
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct Cancel {
    /// job id
    #[argh(positional)]
    pub(crate) id: String,
}

/// print the log lines of a request, job or replica from the log files of daemons
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct Trace {
    /// id of a request, job or replica
    #[argh(positional)]
    pub(crate) id: String,
    /// log files of JSON lines; text before the JSON object of a line is ignored
    #[argh(positional)]
    pub(crate) logs: Vec<PathBuf>,
}
