//! Shards of the platform's log that this daemon follows.
//!
//! Batch jobs, files, keyed calls and rollouts are stored in the streams of shards,
//! and each shard has at most one owner at a time. For every shard that it follows,
//! a daemon recovers the state from the log, follows the stream and takes part in
//! the choice of the owner. The owner also commits records, maintains the shard and
//! serves requests of other daemons for it.

mod call;
mod commit;
mod handle;
mod maintain;
mod manager;
mod recover;
mod serve;
mod tail;
mod withdrawal;

pub use call::run_keyed_call;
pub use handle::Handle;
pub use manager::run_manager;
pub use recover::read_chunk;
pub use serve::{
    append_record, find_file, find_job, finish_attempts, lease_items, read_results, renew_leases,
};

pub(crate) use commit::append_with_retry;
