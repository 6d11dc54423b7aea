//! The environment document.
//!
//! One document states which models and services an environment serves, what
//! is online and what batch, and what each may cost the other. It holds no
//! addresses: the same bytes go from trial to production.

mod check;
mod types;

pub use types::*;

use crate::jsonc::{self, Problem};

impl Document {
    /// Document of a JSON text with comments.
    ///
    /// # Errors
    ///
    /// All problems of the text at once: unknown fields, wrong types, names
    /// stated twice, references to nothing, impossible bounds.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let (document, lines) = jsonc::parse::<Self>(text)?;
        let problems = check::problems(&document, &lines);
        if problems.is_empty() {
            Ok(document)
        } else {
            Err(problems)
        }
    }

    /// Model of a name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// Service of a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }

    /// Customer whose key has the digest.
    #[must_use]
    pub fn customer_of(&self, key_digest: &str) -> Option<&Customer> {
        self.customers
            .iter()
            .find(|customer| customer.key_digest == key_digest)
    }

    /// Data centres of all regions.
    pub fn data_centres(&self) -> impl Iterator<Item = &crate::Name> {
        self.regions.iter().flat_map(|region| &region.data_centres)
    }

    /// Region of a data centre.
    #[must_use]
    pub fn region_of(&self, data_centre: &str) -> Option<&Region> {
        self.regions.iter().find(|region| {
            region
                .data_centres
                .iter()
                .any(|name| name.as_str() == data_centre)
        })
    }
}

impl Service {
    /// Whether a call may be repeated.
    #[must_use]
    pub fn repeatable(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or(path);
        self.routes
            .iter()
            .filter(|route| route.method.as_str() == method)
            .filter(|route| {
                path.strip_prefix(route.path.as_str())
                    .is_some_and(ends_segment)
            })
            .max_by_key(|route| route.path.len())
            .is_some_and(|route| route.repeatable)
    }
}

fn ends_segment(rest: &str) -> bool {
    rest.is_empty() || rest.starts_with('/')
}
