//! Problems that the schema cannot see.

use super::{Document, Model, Replicas};
use crate::Name;
use crate::jsonc::{Lines, Problem};

/// Problems of names, references and bounds.
pub(super) fn problems(document: &Document, lines: &Lines<'_>) -> Vec<Problem> {
    let mut check = Check {
        document,
        lines,
        found: Vec::new(),
    };
    check.names();
    check.bounds();
    check.found
}

struct Check<'a> {
    document: &'a Document,
    lines: &'a Lines<'a>,
    found: Vec<Problem>,
}

impl Check<'_> {
    fn add(&mut self, path: String, message: String) {
        self.found.push(self.lines.problem(path, message));
    }

    fn unique<'n>(&mut self, names: impl Iterator<Item = (String, &'n str)>) {
        let mut seen: Vec<&str> = Vec::new();
        for (path, name) in names {
            if seen.contains(&name) {
                self.add(path, format!("`{name}` is stated twice; give each its own"));
            }
            seen.push(name);
        }
    }

    fn names(&mut self) {
        let document = self.document;
        let regions = &document.regions;
        self.unique(
            regions
                .iter()
                .enumerate()
                .map(|(i, r)| (format!("/regions/{i}/name"), r.name.as_str())),
        );
        self.unique(regions.iter().enumerate().flat_map(|(i, region)| {
            let names = region.data_centres.iter().enumerate();
            names.map(move |(j, name)| (format!("/regions/{i}/data_centres/{j}"), name.as_str()))
        }));
        self.unique(
            document
                .models
                .iter()
                .enumerate()
                .map(|(i, m)| (format!("/models/{i}/name"), m.name.as_str())),
        );
        self.unique(
            document
                .services
                .iter()
                .enumerate()
                .map(|(i, s)| (format!("/services/{i}/name"), s.name.as_str())),
        );
        self.unique(
            document
                .customers
                .iter()
                .enumerate()
                .map(|(i, c)| (format!("/customers/{i}/name"), c.name.as_str())),
        );
        self.unique(
            document
                .customers
                .iter()
                .enumerate()
                .map(|(i, c)| (format!("/customers/{i}/key_digest"), c.key_digest.as_str())),
        );
        for (i, model) in document.models.iter().enumerate() {
            self.replicas(&format!("/models/{i}/replicas"), &model.replicas);
        }
        for (i, service) in document.services.iter().enumerate() {
            self.replicas(&format!("/services/{i}/replicas"), &service.replicas);
        }
    }

    fn replicas(&mut self, path: &str, replicas: &[Replicas]) {
        self.unique(
            replicas
                .iter()
                .enumerate()
                .map(|(i, r)| (format!("{path}/{i}/data_centre"), r.data_centre.as_str())),
        );
        let known: Vec<&Name> = self.document.data_centres().collect();
        for (i, row) in replicas.iter().enumerate() {
            if !known.contains(&&row.data_centre) {
                let choice = known
                    .iter()
                    .map(|name| name.as_str())
                    .collect::<Vec<_>>()
                    .join(", ");
                self.add(
                    format!("{path}/{i}/data_centre"),
                    format!(
                        "`{}` is no data centre of this document; write one of: {choice}",
                        row.data_centre
                    ),
                );
            }
        }
    }

    fn rollout(&mut self, path: &str, model: &Model) {
        if self.document.weight_store.is_none() {
            self.add(
                format!("{path}/weights"),
                "are loaded from a weight store; state `weight_store`".to_owned(),
            );
        }
        for row in &model.replicas {
            if row.count > model.rollout.min_up {
                continue;
            }
            let message = match row.count {
                1 => format!(
                    "`{}` has one replica, which is never given away; state no weights or more replicas",
                    row.data_centre
                ),
                count => format!(
                    "leaves no replica to change in `{}`; write at most {}",
                    row.data_centre,
                    count - 1
                ),
            };
            self.add(format!("{path}/rollout/min_up"), message);
        }
    }

    fn bounds(&mut self) {
        let document = self.document;
        for (i, model) in document.models.iter().enumerate() {
            let path = format!("/models/{i}");
            if model.online.is_none() && model.batch.is_none() {
                self.add(
                    path.clone(),
                    "the model serves nothing; state `online`, `batch` or both".to_owned(),
                );
            }
            if document.sharing.reserve >= model.max_sequences && model.batch.is_some() {
                self.add(
                    "/sharing/reserve".to_owned(),
                    format!(
                        "leaves no sequence of `{}` for batch; write less than {}",
                        model.name, model.max_sequences
                    ),
                );
            }
            if model.weights.is_some() {
                self.rollout(&path, model);
            }
            match &model.online {
                Some(online) if online.ttft_ms > online.deadline_ms => self.add(
                    format!("{path}/online/ttft_ms"),
                    format!(
                        "is later than the whole answer; write at most {}",
                        online.deadline_ms
                    ),
                ),
                _ => {}
            }
            match &model.batch {
                Some(batch) if batch.attempt_ms > batch.due_s.saturating_mul(1000) => self.add(
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
