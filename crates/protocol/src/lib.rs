//! Messages, result codes, the environment document and the API types.
//!
//! This crate defines the types that are exchanged between processes or
//! stored: the callers' API ([`api`]), the administration API ([`admin`]), the
//! environment document ([`document`]), messages between daemons ([`peer`]),
//! and records in the platform's log ([`record`]), from which daemons recover
//! their state. The platform's own interfaces are in [`log`], [`instance`] and
//! [`engine`]. The crate depends on no other crate of the workspace.

pub mod admin;
pub mod api;
pub mod code;
pub mod document;
pub mod engine;
pub mod hash;
pub mod id;
pub mod instance;
pub mod jsonc;
pub mod log;
pub mod peer;
pub mod record;
pub mod settings;
pub mod text;

pub use code::Code;
pub use document::Document;
pub use record::Record;
pub use settings::Settings;
pub use text::Name;
