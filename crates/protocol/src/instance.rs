//! Rows of the platform's instance list.
//!
//! The platform lists every running instance: entry instances, which run a
//! daemon, and the engines and plain services behind them. Daemons read the
//! list periodically to find each other and the backend servers. An instance
//! that is about to stop is listed as leaving first.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Entry instance, which runs a daemon; the address is its peer address (UDP).
    Entry,
    /// Model engine; `serves` is the name of the model.
    Engine,
    /// Plain service; `serves` is the name of the service.
    Service,
}

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// About to stop; accepts no new work.
    Leaving,
}

/// Row of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name of the instance.
    pub name: Name,
    /// Kind of the instance.
    pub kind: Kind,
    /// Model or service that a backend server serves; for an entry instance, the environment.
    pub serves: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Address on which the instance listens.
    pub address: SocketAddr,
    /// State of the instance.
    pub state: State,
}
