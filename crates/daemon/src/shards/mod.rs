//! Shards that this daemon reads: tail, commit, ownership.

mod call;
mod commit;
mod desk;
mod maintain;
mod recover;
mod serve;
mod tail;
mod warden;

pub use call::keyed;
pub use desk::Desk;
pub use recover::{lines, recover};
pub use serve::{append, find_file, find_job, finish, item_error, pull, renew, results};
pub use warden::watch;

pub(crate) use commit::append_open;
