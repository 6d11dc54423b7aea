//! Steps of a schedule.

use proptest::prelude::{Just, Strategy, any as arbitrary, prop_oneof};

use crate::durable::Fate;

/// Daemons in a schedule.
pub(super) const NODES: usize = 3;

/// Engines in a schedule; every second one checks fencing numbers.
pub(super) const ENGINES: usize = 4;

/// Step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Time passes, in milliseconds.
    Wait(u16),
    /// A daemon reads the log.
    Read(usize),
    /// A daemon decides on the ownership.
    Own(usize, Fate),
    /// A daemon appends what waits.
    Commit(usize, Fate),
    /// A late append lands.
    Land,
    /// An operator publishes other weights.
    Publish,
    /// A daemon learns what was published last.
    Configure(usize),
    /// A daemon asks an engine what it runs.
    Ask(usize, usize),
    /// A daemon decides on orders.
    Decide(usize),
    /// A daemon sends what it decided.
    Send(usize),
    /// An order on the wire arrives.
    Arrive(u8),
    /// An engine runs a number of requests.
    Busy(usize, u8),
    /// An engine ends a load.
    Load(usize),
    /// A daemon dies and comes back with nothing.
    Restart(usize),
    /// A daemon changes its mind on whether another one lives.
    Believe(usize, usize, bool),
    /// All daemons but one are held still, while that one works and perhaps
    /// asks the engines what they run.
    Alone(usize, bool),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        8 => Just(Fate::Lands),
        1 => Just(Fate::Lost),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Late),
    ]
}

/// Any step.
pub(super) fn any() -> impl Strategy<Value = Op> {
    let node = 0..NODES;
    let engine = 0..ENGINES;
    prop_oneof![
        3 => (50u16..3000).prop_map(Op::Wait),
        8 => node.clone().prop_map(Op::Read),
        5 => (node.clone(), fate()).prop_map(|(n, f)| Op::Own(n, f)),
        4 => (node.clone(), fate()).prop_map(|(n, f)| Op::Commit(n, f)),
        1 => Just(Op::Land),
        1 => Just(Op::Publish),
        3 => node.clone().prop_map(Op::Configure),
        6 => (node.clone(), engine.clone()).prop_map(|(n, e)| Op::Ask(n, e)),
        6 => node.clone().prop_map(Op::Decide),
        6 => node.clone().prop_map(Op::Send),
        6 => arbitrary::<u8>().prop_map(Op::Arrive),
        3 => (engine.clone(), 0u8..4).prop_map(|(e, running)| Op::Busy(e, running)),
        3 => engine.prop_map(Op::Load),
        1 => node.clone().prop_map(Op::Restart),
        6 => (node.clone(), arbitrary::<bool>()).prop_map(|(n, asks)| Op::Alone(n, asks)),
        2 => (node.clone(), node, arbitrary::<bool>()).prop_map(|(a, b, up)| Op::Believe(a, b, up)),
    ]
}
