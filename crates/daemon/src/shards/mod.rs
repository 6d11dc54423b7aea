//! Shards that this daemon reads: tail, commit, ownership.

mod call;
mod commit;
mod handle;
mod maintain;
mod manager;
mod recover;
mod serve;
mod tail;

pub use call::keyed;
pub use handle::Handle;
pub use manager::watch;
pub use recover::lines;
pub use serve::{append, find_file, find_job, finish, pull, renew, results};

pub(crate) use commit::append_open;
