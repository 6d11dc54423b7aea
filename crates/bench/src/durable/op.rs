//! Steps of a schedule.

use proptest::prelude::{Just, Strategy, any as arbitrary, prop_oneof};

/// Daemons in a schedule.
pub const NODES: usize = 3;

/// Jobs in a schedule.
pub const JOBS: u8 = 3;

/// Keys of calls in a schedule.
pub const KEYS: u8 = 3;

/// What becomes of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It lands and is confirmed.
    Lands,
    /// It is lost.
    Lost,
    /// It lands and its answer is lost.
    AnswerLost,
    /// It lands later, after others.
    Late,
}

/// Step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Time passes, in milliseconds.
    Wait(u16),
    /// A daemon reads the log.
    Read(usize),
    /// A daemon decides on the ownership.
    Look(usize, Fate),
    /// A daemon appends a group.
    Commit(usize, Fate),
    /// A late append lands.
    Land,
    /// A client sends a job, perhaps again.
    Submit(u8, Fate),
    /// A client cancels a job.
    Cancel(u8, Fate),
    /// An owner leases items.
    Pull(usize, u8),
    /// A worker ends an item and tells a daemon; `true` for a result.
    Finish(u8, usize, bool),
    /// Leases lapse where they are due.
    Expire(usize),
    /// A client sends a keyed call to a daemon.
    Call(usize, u8),
    /// A daemon runs calls that were announced.
    Run(usize),
    /// A daemon gives up on calls whose announcement did not come back.
    Withdraw(usize),
    /// A daemon dies and comes back with nothing.
    Restart(usize),
    /// All other daemons are held still while a daemon takes the shard over.
    TakeOver(usize),
    /// A daemon writes a snapshot of what it knows.
    Snapshot(usize, Fate),
    /// A daemon writes old results again.
    Carry(usize),
    /// The log drops what is held elsewhere.
    Truncate,
    /// A daemon changes its mind on whether another one lives.
    Believe(usize, usize, bool),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Lands),
        1 => Just(Fate::Lost),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Late),
    ]
}

/// Any step.
pub fn any() -> impl Strategy<Value = Op> {
    let node = 0..NODES;
    prop_oneof![
        3 => (50u16..4000).prop_map(Op::Wait),
        8 => node.clone().prop_map(Op::Read),
        5 => (node.clone(), fate()).prop_map(|(n, f)| Op::Look(n, f)),
        6 => (node.clone(), fate()).prop_map(|(n, f)| Op::Commit(n, f)),
        1 => Just(Op::Land),
        3 => (0..JOBS, fate()).prop_map(|(j, f)| Op::Submit(j, f)),
        1 => (0..JOBS, fate()).prop_map(|(j, f)| Op::Cancel(j, f)),
        4 => (node.clone(), 1u8..4).prop_map(|(n, c)| Op::Pull(n, c)),
        6 => (arbitrary::<u8>(), node.clone(), arbitrary::<bool>())
            .prop_map(|(w, n, ok)| Op::Finish(w, n, ok)),
        1 => node.clone().prop_map(Op::Expire),
        3 => (node.clone(), 0..KEYS).prop_map(|(n, k)| Op::Call(n, k)),
        4 => node.clone().prop_map(Op::Run),
        1 => node.clone().prop_map(Op::Withdraw),
        1 => node.clone().prop_map(Op::Restart),
        2 => node.clone().prop_map(Op::TakeOver),
        2 => (node.clone(), fate()).prop_map(|(n, f)| Op::Snapshot(n, f)),
        2 => node.clone().prop_map(Op::Carry),
        1 => Just(Op::Truncate),
        2 => (node.clone(), node, arbitrary::<bool>()).prop_map(|(a, b, up)| Op::Believe(a, b, up)),
    ]
}
