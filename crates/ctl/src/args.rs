//! Arguments.

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

/// the environment document
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
    /// document
    #[argh(positional)]
    pub(crate) document: PathBuf,
}

/// compare a document with the one in force
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// document
    #[argh(positional)]
    pub(crate) document: PathBuf,
    /// administration address of a daemon
    #[argh(option)]
    pub(crate) admin: SocketAddr,
}

/// publish a document on top of a version
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub(crate) struct Publish {
    /// document
    #[argh(positional)]
    pub(crate) document: PathBuf,
    /// administration address of a daemon
    #[argh(option)]
    pub(crate) admin: SocketAddr,
    /// version that you started from; 0 for the first
    #[argh(option)]
    pub(crate) base: u64,
    /// your name, for the history
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) operator: String,
    /// digest that `config check` printed in the trial environment
    #[argh(option)]
    pub(crate) digest: Option<String>,
}

/// print the document in force
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    /// administration address of a daemon
    #[argh(option)]
    pub(crate) admin: SocketAddr,
}

/// list the versions that the log still holds
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// administration address of a daemon
    #[argh(option)]
    pub(crate) admin: SocketAddr,
}

/// status of a daemon
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// administration address of a daemon
    #[argh(option)]
    pub(crate) admin: SocketAddr,
}

/// counters of a daemon
#[derive(FromArgs)]
#[argh(subcommand, name = "counters")]
pub(crate) struct Counters {
    /// administration address of a daemon
    #[argh(option)]
    pub(crate) admin: SocketAddr,
}

/// let a daemon finish its requests and exit
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// administration address of a daemon
    #[argh(option)]
    pub(crate) admin: SocketAddr,
}

/// list the numbered result codes
#[derive(FromArgs)]
#[argh(subcommand, name = "codes")]
pub(crate) struct Codes {}

/// print the digest of a customer's key for the document
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct Key {
    /// key
    #[argh(positional)]
    pub(crate) key: String,
}

/// batch jobs
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct Job {
    #[argh(subcommand)]
    pub(crate) action: JobAction,
    /// callers' address of a daemon
    #[argh(option)]
    pub(crate) daemon: SocketAddr,
    /// customer's key
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

/// send a file of JSON lines as a job
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct Submit {
    /// file of JSON lines
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// API path that the lines name
    #[argh(option, default = "String::from(\"/v1/chat/completions\")")]
    pub(crate) endpoint: String,
    /// time until the results are due, such as 8h
    #[argh(option)]
    pub(crate) window: Option<String>,
    /// idempotency key
    #[argh(option)]
    pub(crate) idempotency_key: Option<String>,
}

/// status of a job
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct JobStatus {
    /// job
    #[argh(positional)]
    pub(crate) id: String,
}

/// results of a job as JSON lines
#[derive(FromArgs)]
#[argh(subcommand, name = "results")]
pub(crate) struct Results {
    /// job
    #[argh(positional)]
    pub(crate) id: String,
}

/// cancel a job
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct Cancel {
    /// job
    #[argh(positional)]
    pub(crate) id: String,
}

/// gather the log lines of a request, job or replica from the logs of daemons
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct Trace {
    /// id of a request, job or replica
    #[argh(positional)]
    pub(crate) id: String,
    /// logs: JSON lines, with or without words before the object
    #[argh(positional)]
    pub(crate) logs: Vec<PathBuf>,
}
