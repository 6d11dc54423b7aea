//! Operations of a schedule and their random generation.
//!
//! The weights favour the path of an order from the decision to its arrival, and
//! takeovers in between, so that orders of an earlier issuer are often still in
//! transit after a takeover.

use proptest::prelude::{Just, Strategy, any as arbitrary, prop_oneof};

use crate::durable::Delivery;

/// Number of daemons.
pub(super) const DAEMONS: usize = 3;

/// Number of engines; every second one checks fencing numbers.
pub(super) const ENGINES: usize = 4;

/// Operation of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// The clock advances, in milliseconds.
    Advance(u16),
    /// A daemon reads the log.
    Read(usize),
    /// A daemon decides whether to claim or release the orders of the data centre.
    DecideOwnership(usize, Delivery),
    /// A daemon appends its pending records.
    Commit(usize, Delivery),
    /// The oldest delayed append is written.
    DeliverDelayed,
    /// An operator publishes a new version of the weights.
    Publish,
    /// A daemon receives the version published last.
    Configure(usize),
    /// A daemon queries the placement of an engine.
    QueryPlacement(usize, usize),
    /// A daemon decides which orders to give.
    DecideOrders(usize),
    /// A daemon sends the orders that it decided.
    SendOrders(usize),
    /// An order in transit arrives.
    DeliverOrder(u8),
    /// The number of requests running at an engine changes.
    SetRunning(usize, u8),
    /// An engine finishes loading weights.
    FinishLoad(usize),
    /// A daemon crashes and restarts without local state.
    Restart(usize),
    /// A daemon changes its view of whether another one is alive.
    UpdateLiveness(usize, usize, bool),
    /// One daemon runs while all others are paused; `true` if it also queries the
    /// placements of the engines.
    RunAlone(usize, bool),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        8 => Just(Delivery::Confirmed),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::ResponseLost),
        1 => Just(Delivery::Delayed),
    ]
}

/// Strategy for any operation.
pub(super) fn any() -> impl Strategy<Value = Op> {
    let daemon = 0..DAEMONS;
    let engine = 0..ENGINES;
    prop_oneof![
        3 => (50u16..3000).prop_map(Op::Advance),
        8 => daemon.clone().prop_map(Op::Read),
        5 => (daemon.clone(), delivery()).prop_map(|(d, delivery)| Op::DecideOwnership(d, delivery)),
        4 => (daemon.clone(), delivery()).prop_map(|(d, delivery)| Op::Commit(d, delivery)),
        1 => Just(Op::DeliverDelayed),
        1 => Just(Op::Publish),
        3 => daemon.clone().prop_map(Op::Configure),
        6 => (daemon.clone(), engine.clone()).prop_map(|(d, engine)| Op::QueryPlacement(d, engine)),
        6 => daemon.clone().prop_map(Op::DecideOrders),
        6 => daemon.clone().prop_map(Op::SendOrders),
        6 => arbitrary::<u8>().prop_map(Op::DeliverOrder),
        3 => (engine.clone(), 0u8..4).prop_map(|(engine, running)| Op::SetRunning(engine, running)),
        3 => engine.prop_map(Op::FinishLoad),
        1 => daemon.clone().prop_map(Op::Restart),
        6 => (daemon.clone(), arbitrary::<bool>()).prop_map(|(d, queries)| Op::RunAlone(d, queries)),
        2 => (daemon.clone(), daemon, arbitrary::<bool>()).prop_map(|(d, other, alive)| Op::UpdateLiveness(d, other, alive)),
    ]
}
