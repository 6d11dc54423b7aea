//! Validation of a document beyond its schema.
//!
//! The schema checks each field by itself. This module checks what involves
//! several fields: names must be unique, replicas must be in a data centre of
//! the document, and bounds must leave room for the traffic that they limit.
//! All problems are collected, each with the line and path of its field.

use super::{Document, Model, Replicas};
use crate::Name;
use crate::jsonc::{Problem, SourceMap};

/// Returns all duplicate names, dangling references and contradictory bounds.
pub(super) fn find_problems(document: &Document, source_map: &SourceMap<'_>) -> Vec<Problem> {
    let mut checker = Checker {
        document,
        source_map,
        problems: Vec::new(),
    };
    checker.check_names();
    checker.check_bounds();
    checker.problems
}

struct Checker<'a> {
    document: &'a Document,
    source_map: &'a SourceMap<'a>,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn report(&mut self, path: String, message: String) {
        self.problems.push(self.source_map.problem(path, message));
    }

    fn check_unique<'n>(&mut self, names: impl Iterator<Item = (String, &'n str)>) {
        let mut seen: Vec<&str> = Vec::new();
        for (path, name) in names {
            if seen.contains(&name) {
                self.report(path, format!("`{name}` is stated twice; give each its own"));
            }
            seen.push(name);
        }
    }

    fn check_names(&mut self) {
        let document = self.document;
        let regions = &document.regions;
        self.check_unique(
            regions
                .iter()
                .enumerate()
                .map(|(i, r)| (format!("/regions/{i}/name"), r.name.as_str())),
        );
        self.check_unique(regions.iter().enumerate().flat_map(|(i, region)| {
            let names = region.data_centres.iter().enumerate();
            names.map(move |(j, name)| (format!("/regions/{i}/data_centres/{j}"), name.as_str()))
        }));
        self.check_unique(
            document
                .models
                .iter()
                .enumerate()
                .map(|(i, m)| (format!("/models/{i}/name"), m.name.as_str())),
        );
        self.check_unique(
            document
                .services
                .iter()
                .enumerate()
                .map(|(i, s)| (format!("/services/{i}/name"), s.name.as_str())),
        );
        self.check_unique(
            document
                .customers
                .iter()
                .enumerate()
                .map(|(i, c)| (format!("/customers/{i}/name"), c.name.as_str())),
        );
        self.check_unique(
            document
                .customers
                .iter()
                .enumerate()
                .map(|(i, c)| (format!("/customers/{i}/key_digest"), c.key_digest.as_str())),
        );
        for (i, model) in document.models.iter().enumerate() {
            self.check_replicas(&format!("/models/{i}/replicas"), &model.replicas);
        }
        for (i, service) in document.services.iter().enumerate() {
            self.check_replicas(&format!("/services/{i}/replicas"), &service.replicas);
        }
    }

    fn check_replicas(&mut self, path: &str, replicas: &[Replicas]) {
        self.check_unique(
            replicas
                .iter()
                .enumerate()
                .map(|(i, r)| (format!("{path}/{i}/data_centre"), r.data_centre.as_str())),
        );
        let known: Vec<&Name> = self.document.data_centres().collect();
        for (i, group) in replicas.iter().enumerate() {
            if !known.contains(&&group.data_centre) {
                let known_names = known
                    .iter()
                    .map(|name| name.as_str())
                    .collect::<Vec<_>>()
                    .join(", ");
                self.report(
                    format!("{path}/{i}/data_centre"),
                    format!(
                        "`{}` is no data centre of this document; write one of: {known_names}",
                        group.data_centre
                    ),
                );
            }
        }
    }

    /// Checks that a rollout can load its weights, and can take at least one
    /// replica out of service in each data centre without going below `min_up`.
    fn check_rollout(&mut self, path: &str, model: &Model) {
        if self.document.weight_store.is_none() {
            self.report(
                format!("{path}/weights"),
                "are loaded from a weight store; state `weight_store`".to_owned(),
            );
        }
        for group in &model.replicas {
            if group.count > model.rollout.min_up {
                continue;
            }
            let message = match group.count {
                1 => format!(
                    "`{}` has one replica, which is never given away; state no weights or more replicas",
                    group.data_centre
                ),
                count => format!(
                    "leaves no replica to change in `{}`; write at most {}",
                    group.data_centre,
                    count - 1
                ),
            };
            self.report(format!("{path}/rollout/min_up"), message);
        }
    }

    fn check_bounds(&mut self) {
        let document = self.document;
        for (i, model) in document.models.iter().enumerate() {
            let path = format!("/models/{i}");
            if model.online.is_none() && model.batch.is_none() {
                self.report(
                    path.clone(),
                    "the model serves nothing; state `online`, `batch` or both".to_owned(),
                );
            }
            if document.sharing.reserve >= model.max_sequences && model.batch.is_some() {
                self.report(
                    "/sharing/reserve".to_owned(),
                    format!(
                        "leaves no sequence of `{}` for batch; write less than {}",
                        model.name, model.max_sequences
                    ),
                );
            }
            if model.weights.is_some() {
                self.check_rollout(&path, model);
            }
            match &model.online {
                Some(online) if online.ttft_ms > online.deadline_ms => self.report(
                    format!("{path}/online/ttft_ms"),
                    format!(
                        "is later than the whole answer; write at most {}",
                        online.deadline_ms
                    ),
                ),
                _ => {}
            }
            match &model.batch {
                Some(batch) if batch.attempt_ms > batch.due_s.saturating_mul(1000) => self.report(
                    format!("{path}/batch/attempt_ms"),
                    format!(
                        "is longer than the time to the due time; write at most {}",
                        batch.due_s * 1000
                    ),
                ),
                _ => {}
            }
        }
    }
}
