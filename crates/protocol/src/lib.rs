//! Messages, result codes, the environment document and the API types.
//!
//! This layer depends on nothing else in the workspace. It holds what two
//! parties exchange: a caller and the daemon ([`api`]), an operator and the
//! daemon ([`document`], [`admin`]), two daemons ([`peer`]), and a daemon and
//! its later self through the platform's log ([`record`]).

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
