//! Operations of a schedule and their random generation.
//!
//! The weights make progress more likely than failures, so that a schedule of
//! limited length reaches takeovers, results and truncation.

use proptest::prelude::{Just, Strategy, any as arbitrary, prop_oneof};

/// Number of daemons.
pub const DAEMONS: usize = 3;

/// Number of distinct jobs.
pub const JOBS: u8 = 3;

/// Number of distinct idempotency keys of calls.
pub const CALL_KEYS: u8 = 3;

/// Delivery of an append and of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The entry is written and the writer gets a confirmation.
    Confirmed,
    /// The entry is never written.
    Lost,
    /// The entry is written, but its confirmation is lost.
    ResponseLost,
    /// The entry is written later, after other entries, without a confirmation.
    Delayed,
}

/// Operation of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// The clock advances, in milliseconds.
    Advance(u16),
    /// A daemon reads the log.
    Read(usize),
    /// A daemon decides whether to claim or release the shard.
    DecideOwnership(usize, Delivery),
    /// A daemon appends a group.
    Commit(usize, Delivery),
    /// The oldest delayed append is written.
    DeliverDelayed,
    /// A client submits a job, possibly again.
    Submit(u8, Delivery),
    /// A client cancels a job.
    Cancel(u8, Delivery),
    /// Workers lease items from a daemon.
    Pull(usize, u8),
    /// A worker reports the end of an item to a daemon; `true` for a result.
    Finish(u8, usize, bool),
    /// A daemon expires the leases that are due.
    Expire(usize),
    /// A client sends a keyed call to a daemon.
    Call(usize, u8),
    /// A daemon runs the calls whose announcement is in the log.
    RunCalls(usize),
    /// A daemon withdraws the calls whose announcement it has not read back.
    WithdrawCalls(usize),
    /// A daemon crashes and restarts without local state.
    Restart(usize),
    /// A daemon takes the shard over while all others are paused.
    TakeOver(usize),
    /// A daemon writes a snapshot of its state.
    Snapshot(usize, Delivery),
    /// A daemon rewrites old results before the log drops them.
    RewriteResults(usize),
    /// The log removes entries that a snapshot covers.
    Truncate,
    /// A daemon changes its view of whether another one is alive.
    UpdateLiveness(usize, usize, bool),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Confirmed),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::ResponseLost),
        1 => Just(Delivery::Delayed),
    ]
}

/// Strategy for any operation.
pub fn any() -> impl Strategy<Value = Op> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        3 => (50u16..4000).prop_map(Op::Advance),
        8 => daemon.clone().prop_map(Op::Read),
        5 => (daemon.clone(), delivery()).prop_map(|(d, delivery)| Op::DecideOwnership(d, delivery)),
        6 => (daemon.clone(), delivery()).prop_map(|(d, delivery)| Op::Commit(d, delivery)),
        1 => Just(Op::DeliverDelayed),
        3 => (0..JOBS, delivery()).prop_map(|(job, delivery)| Op::Submit(job, delivery)),
        1 => (0..JOBS, delivery()).prop_map(|(job, delivery)| Op::Cancel(job, delivery)),
        4 => (daemon.clone(), 1u8..4).prop_map(|(d, count)| Op::Pull(d, count)),
        6 => (arbitrary::<u8>(), daemon.clone(), arbitrary::<bool>())
            .prop_map(|(worker, d, ok)| Op::Finish(worker, d, ok)),
        1 => daemon.clone().prop_map(Op::Expire),
        3 => (daemon.clone(), 0..CALL_KEYS).prop_map(|(d, key)| Op::Call(d, key)),
        4 => daemon.clone().prop_map(Op::RunCalls),
        1 => daemon.clone().prop_map(Op::WithdrawCalls),
        1 => daemon.clone().prop_map(Op::Restart),
        2 => daemon.clone().prop_map(Op::TakeOver),
        2 => (daemon.clone(), delivery()).prop_map(|(d, delivery)| Op::Snapshot(d, delivery)),
        2 => daemon.clone().prop_map(Op::RewriteResults),
        1 => Just(Op::Truncate),
        2 => (daemon.clone(), daemon, arbitrary::<bool>()).prop_map(|(d, other, alive)| Op::UpdateLiveness(d, other, alive)),
    ]
}
