//! The platform's list of live and leaving instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// What an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Entry instance; the address is its peer address (UDP).
    Entry,
    /// Model engine; `serves` names the model.
    Engine,
    /// Plain service; `serves` names the service.
    Service,
}

/// State in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// About to go; takes no new work.
    Leaving,
}

/// Row of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name.
    pub name: Name,
    /// What it is.
    pub kind: Kind,
    /// Model or service behind a backend server; the environment for an entry.
    pub serves: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// State.
    pub state: State,
}
