//! The environment document: the configuration that a whole fleet shares.
//!
//! The document lists the regions, models, services and customers of an
//! environment, the online and batch objectives of each model, and how the two
//! kinds of traffic share replicas. It contains no addresses, so that the
//! document tested in a trial environment can be published unchanged in
//! production. [`Document::parse`] checks the schema first and then references
//! and bounds, and reports all problems of a step together, with their lines.

mod check;
mod types;

pub use types::*;

use crate::jsonc::{self, Problem};

impl Document {
    /// Parses and validates JSON text with comments.
    ///
    /// # Errors
    ///
    /// All schema violations, such as unknown fields and wrong types; if there
    /// are none, all duplicate names, dangling references and bounds that
    /// contradict each other.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let (document, source_map) = jsonc::parse::<Self>(text)?;
        let problems = check::find_problems(&document, &source_map);
        if problems.is_empty() {
            Ok(document)
        } else {
            Err(problems)
        }
    }

    /// Returns the model called `name`.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// Returns the service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }

    /// Returns the customer whose API key has the digest `key_digest`.
    #[must_use]
    pub fn customer_by_key_digest(&self, key_digest: &str) -> Option<&Customer> {
        self.customers
            .iter()
            .find(|customer| customer.key_digest == key_digest)
    }

    /// Iterates over the data centres of all regions.
    pub fn data_centres(&self) -> impl Iterator<Item = &crate::Name> {
        self.regions.iter().flat_map(|region| &region.data_centres)
    }

    /// Returns the region that contains a data centre.
    #[must_use]
    pub fn region_of_data_centre(&self, data_centre: &str) -> Option<&Region> {
        self.regions.iter().find(|region| {
            region
                .data_centres
                .iter()
                .any(|name| name.as_str() == data_centre)
        })
    }
}

impl Service {
    /// Whether a call may be sent again after a failure, by the route with the longest
    /// matching path prefix.
    #[must_use]
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or(path);
        self.routes
            .iter()
            .filter(|route| route.method.as_str() == method)
            .filter(|route| {
                path.strip_prefix(route.path.as_str())
                    .is_some_and(starts_at_segment_boundary)
            })
            .max_by_key(|route| route.path.len())
            .is_some_and(|route| route.repeatable)
    }
}

fn starts_at_segment_boundary(rest: &str) -> bool {
    rest.is_empty() || rest.starts_with('/')
}
